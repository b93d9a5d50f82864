package support;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;

/** Reads lines that end with CR LF. */
final class Lines {

  private final InputStream in;

  Lines(InputStream in) {
    this.in = new BufferedInputStream(in, 1 << 16);
  }

  /** Returns the next line, or null at the end of the input. */
  String read() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int previous = -1;
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n' && previous == '\r') {
        byte[] bytes = line.toByteArray();
        return new String(bytes, 0, bytes.length - 1, ISO_8859_1);
      }
      line.write(next);
      previous = next;
    }
    return null;
  }
}
