package support;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Runs a case: exit code 10 if the rule was broken, 0 if it held, 2 if the case could not run. The
 * runtime itself ends with 1 after an error, so that 1 would not show that a rule was broken.
 */
final class Case {

  private static final int BROKEN = 10;

  private Case() {}

  /** The body of a case. */
  interface Body {

    /** Returns 1 if the rule was broken and 0 if it held. */
    int play(Record record, boolean trouble, Resources resources) throws IOException;
  }

  /** What the case has started; it is ended in the opposite order. */
  static final class Resources {

    private final Deque<AutoCloseable> all = new ArrayDeque<>();

    synchronized <T extends AutoCloseable> T add(T resource) {
      all.push(resource);
      return resource;
    }

    synchronized void close(Record record) {
      while (!all.isEmpty()) {
        try {
          all.pop().close();
        } catch (Exception e) {
          record.result("something that the case started cannot be ended: %s", e);
        }
      }
    }
  }

  static int run(Path folder, Body body) throws IOException {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Resources resources = new Resources();
    try (Record record = new Record(folder.resolve("record.txt"))) {
      Thread closer = new Thread(() -> resources.close(record));
      Runtime.getRuntime().addShutdownHook(closer);
      int result;
      try {
        record.line("with%s the disruption", trouble ? "" : "out");
        result = body.play(record, trouble, resources) == 0 ? 0 : BROKEN;
      } catch (IOException | RuntimeException e) {
        record.result("the case could not run: %s", e);
        result = 2;
      }
      resources.close(record);
      Runtime.getRuntime().removeShutdownHook(closer);
      return result;
    }
  }
}
