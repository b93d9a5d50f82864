package support;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.UUID;

/** A client that holds one session, as PROTOCOL.md describes it. */
final class LineClient implements AutoCloseable {

  /** The receive buffer of a client whose link is the limit. */
  private static final int RECEIVE_BUFFER_BYTES = 128 << 10;

  private final Socket socket = new Socket();
  private final Lines in;
  private int rowsOfLatest;

  /**
   * The answer to a statement.
   *
   * @param rows the number of rows
   * @param signature the signature, or empty after an error
   * @param error the code of the error, or empty after a success
   * @param state the state of the session
   */
  record Answer(int rows, String signature, String error, String state) {

    boolean succeeded() {
      return error.isEmpty() && !signature.isEmpty();
    }
  }

  LineClient(String address, int timeoutMillis) throws IOException {
    this(address, timeoutMillis, 0);
  }

  /**
   * Connects.
   *
   * @param bytesPerSecond how fast answers are received; 0 for no limit
   */
  LineClient(String address, int timeoutMillis, int bytesPerSecond) throws IOException {
    int colon = address.lastIndexOf(':');
    try {
      if (bytesPerSecond > 0) {
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      }
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          timeoutMillis);
      socket.setSoTimeout(timeoutMillis);
      socket.setTcpNoDelay(true);
      in =
          new Lines(
              bytesPerSecond == 0
                  ? socket.getInputStream()
                  : new LimitedInput(socket.getInputStream(), bytesPerSecond));
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** Opens the session; fails if it is refused. */
  void start(String database, String key) throws IOException {
    send("START " + database + " " + key);
    String line = readLine();
    if (!line.startsWith("READY")) {
      throw new IOException("the session was refused: " + line);
    }
  }

  static String newId() {
    return UUID.randomUUID().toString().replace("-", "").substring(0, 16);
  }

  Answer query(String id, String text) throws IOException {
    send("QUERY " + id + " " + text);
    rowsOfLatest = 0;
    String signature = "";
    String error = "";
    while (true) {
      String line = readLine();
      String[] words = line.split(" ", 3);
      switch (words[0]) {
        case "ROW" -> rowsOfLatest++;
        case "COMPLETE" -> signature = words[1];
        case "ERROR" -> error = words[1];
        case "READY" -> {
          return new Answer(rowsOfLatest, signature, error, words[1]);
        }
        default -> throw new IOException("unknown message: " + line);
      }
    }
  }

  /** Returns how many rows of the latest answer have arrived. */
  int rowsOfLatest() {
    return rowsOfLatest;
  }

  private void send(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(ISO_8859_1));
  }

  private String readLine() throws IOException {
    String line = in.read();
    if (line == null) {
      throw new EOFException("the session was closed");
    }
    return line;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
