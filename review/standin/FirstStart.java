import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Fault: a control VM is killed while it creates the files of its empty data folder. */
final class FirstStart extends Case {

  private static final int ENDS = 3;

  public static void main(String[] args) throws Exception {
    new FirstStart().main(args[0]);
  }

  @Override
  boolean run(Path folder) throws Exception {
    try (Fleet fleet = new Fleet(folder, record, 3, 2);
        Service service = new Service(fleet, record)) {
      fleet.startAll();
      String vm = "core-3";
      Process first = fleet.process(vm);
      Path data = fleet.dataFolder(vm);
      while (first.isAlive() && (trouble ? isEmpty(data) : !Files.exists(data.resolve("log")))) {
        Thread.onSpinWait();
      }
      if (!trouble) {
        Thread.sleep(500);
      }
      require(first.isAlive(), "the process ended before it was killed");
      first.destroyForcibly();
      first.waitFor();
      record.line("killed %s with SIGKILL; its data folder: %s", vm, list(data));
      int status = fleet.configure(Service.configuration(7, KEY, 0), 7, 30_000);
      require(status == 200, "no configuration was acknowledged: " + status);
      int ended = 0;
      boolean ready = false;
      while (!ready && ended < ENDS) {
        Thread.sleep(500);
        Process process = fleet.start(vm, false);
        while (process.isAlive() && !ready) {
          ready = fleet.isReady(vm);
          Thread.sleep(100);
        }
        if (!ready) {
          ended++;
          record.line(
              "the process of %s ended by itself, exit code %d, end %d; its data folder: %s",
              vm, process.exitValue(), ended, list(data));
        }
      }
      record.line(ready ? "%s answers reads of the configuration" : "%s does not start", vm);
      record.line("its output: %s", lastLines(folder.resolve(vm + ".log")));
      return ready;
    }
  }

  private static boolean isEmpty(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.findAny().isEmpty();
    }
  }

  private static String list(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.map(file -> file.getFileName().toString()).sorted().toList().toString();
    }
  }

  private static String lastLines(Path file) throws IOException {
    String text = Files.readString(file);
    return text.substring(Math.max(0, text.length() - 500));
  }
}
