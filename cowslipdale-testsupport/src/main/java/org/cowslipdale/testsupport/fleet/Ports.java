package org.cowslipdale.testsupport.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free ports on loopback, below the range from which the system takes ports for outgoing
 * connections, so that none is taken between the search and its use.
 */
final class Ports {

  private static final int FIRST_PORT = 10_000;
  private static final int LAST_PORT = 32_000;

  private static int next = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);

  private Ports() {}

  /** Returns addresses with ports that nothing listens on and no earlier call returned. */
  static synchronized List<String> findFreeAddresses(int count) throws IOException {
    List<String> addresses = new ArrayList<>();
    for (int tries = 0; addresses.size() < count; tries++) {
      if (tries > LAST_PORT - FIRST_PORT) {
        throw new IOException("no free ports between " + FIRST_PORT + " and " + LAST_PORT);
      }
      next = next >= LAST_PORT ? FIRST_PORT : next + 1;
      if (isFree(next)) {
        addresses.add("127.0.0.1:" + next);
      }
    }
    return addresses;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
