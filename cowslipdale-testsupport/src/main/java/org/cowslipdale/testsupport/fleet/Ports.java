package org.cowslipdale.testsupport.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Finds free ports on loopback. */
final class Ports {

  private static final Set<Integer> TAKEN = new HashSet<>();

  private Ports() {}

  /** Returns addresses with ports that nothing listens on and no earlier call returned. */
  static synchronized List<String> free(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<String> addresses = new ArrayList<>();
    try {
      while (addresses.size() < count) {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        sockets.add(socket);
        if (TAKEN.add(socket.getLocalPort())) {
          addresses.add("127.0.0.1:" + socket.getLocalPort());
        }
      }
      return addresses;
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }
}
