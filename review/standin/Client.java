import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** A client with one session. */
final class Client implements AutoCloseable {

  private final Lines lines;

  /** An answer; the code is null after a success, and "cut" if the connection ended. */
  record Answer(List<String> rows, String signature, String code, String state, String position) {
    boolean ok() {
      return code == null;
    }
  }

  Client(InetSocketAddress address) throws IOException {
    Socket socket = new Socket();
    socket.connect(address, 1_000);
    lines = new Lines(socket);
    lines.timeoutMillis(5_000);
  }

  Answer start(String database, String key) throws IOException {
    lines.write("START " + database + " " + key);
    return readAnswer();
  }

  Answer query(String id, String text) throws IOException {
    lines.write("QUERY " + id + " " + text);
    return readAnswer();
  }

  static String newId() {
    return "%016x".formatted(ThreadLocalRandom.current().nextLong());
  }

  private Answer readAnswer() throws IOException {
    List<String> rows = new ArrayList<>();
    String signature = null;
    String code = null;
    while (true) {
      String line = lines.read();
      if (line == null) {
        return new Answer(rows, signature, code == null ? "cut" : code, null, null);
      }
      String[] words = line.split(" ", 3);
      switch (words[0]) {
        case "ROW" -> rows.add(line.substring(4));
        case "COMPLETE" -> signature = words[1];
        case "ERROR" -> code = words[1];
        case "READY" -> {
          return new Answer(rows, signature, code, words[1], words[2]);
        }
        default -> throw new IOException("unknown message: " + line);
      }
    }
  }

  @Override
  public void close() throws IOException {
    lines.close();
  }
}
