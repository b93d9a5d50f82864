import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;

/** Reads and writes messages of the line protocol, each terminated by CR LF. */
final class Lines implements AutoCloseable {

  private final Socket socket;
  private final InputStream in;
  private final OutputStream out;

  Lines(Socket socket) throws IOException {
    this.socket = socket;
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  void timeoutMillis(int millis) throws IOException {
    socket.setSoTimeout(millis);
  }

  /** Returns the next line without its CR LF, or null at the end of the stream. */
  String read() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int previous = -1;
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (previous == '\r' && next == '\n') {
        byte[] bytes = line.toByteArray();
        return new String(bytes, 0, bytes.length - 1, ISO_8859_1);
      }
      line.write(next);
      previous = next;
    }
    return null;
  }

  void write(String... lines) throws IOException {
    StringBuilder text = new StringBuilder();
    for (String line : lines) {
      text.append(line).append("\r\n");
    }
    out.write(text.toString().getBytes(ISO_8859_1));
    out.flush();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
