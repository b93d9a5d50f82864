package support;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: one line for each event, with the milliseconds since its start. */
final class Record implements AutoCloseable {

  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String format, Object... arguments) {
    out.printf("%7d %s%n", millis(), arguments.length == 0 ? format : format.formatted(arguments));
  }

  /** Writes a line to the record and to standard output. */
  synchronized void result(String format, Object... arguments) {
    String text = format.formatted(arguments);
    line("%s", text);
    System.out.println(text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
