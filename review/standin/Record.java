import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with the time since the start. */
final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  synchronized void line(String format, Object... arguments) {
    String text = format.formatted(arguments).replace("\r", "\\r").replace("\n", "\\n");
    out.printf("%8.3f  %s%n", (System.nanoTime() - startNanos) / 1e9, text);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
