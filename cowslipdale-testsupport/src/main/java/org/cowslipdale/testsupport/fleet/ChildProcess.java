package org.cowslipdale.testsupport.fleet;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** A Java process that this tool started; it can be killed, frozen and started again. */
public final class ChildProcess implements AutoCloseable {

  private static final long EXIT_TIMEOUT_SECONDS = 60;

  private final List<String> command;
  private final Path log;
  private @Nullable Process process;

  /**
   * Prepares a process.
   *
   * @param command the command and its arguments
   * @param log the file to which its output is appended
   */
  public ChildProcess(List<String> command, Path log) {
    this.command = List.copyOf(command);
    this.log = log;
  }

  /**
   * Returns the command that runs a main class of a built module.
   *
   * <p>Processes start fast with the simple compiler; benchmarks set the system property {@code
   * cowslipdale.full-compiler}.
   *
   * @param root the root of the repository
   * @param module the module without its prefix
   * @param main the main class
   * @param heap the heap limit, such as 96m
   * @param args the arguments
   */
  static List<String> javaCommand(Path root, String module, String main, String heap, List<String> args)
      throws IOException {
    Path target = root.resolve("cowslipdale-" + module).resolve("target");
    Path jar = target.resolve("cowslipdale-" + module + "-0.1.0.jar");
    String classpath = jar + File.pathSeparator + Files.readString(target.resolve("classpath"));
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.add("-XX:+UseSerialGC");
    command.add("-XX:+IgnoreUnrecognizedVMOptions");
    command.add("--sun-misc-unsafe-memory-access=allow");
    if (!Boolean.getBoolean("cowslipdale.full-compiler")) {
      command.add("-XX:TieredStopAtLevel=1");
    }
    command.add("-Xmx" + heap);
    command.add("-cp");
    command.add(classpath);
    command.add(main);
    command.addAll(args);
    return command;
  }

  /** Starts the process; a running one is left alone. */
  public void start() throws IOException {
    if (process == null || !process.isAlive()) {
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start();
    }
  }

  /** Kills the process without warning. */
  public void kill() throws IOException {
    signal("KILL");
    await();
  }

  /** Asks the process to stop and waits until it has. */
  public int stop() throws IOException {
    signal("TERM");
    return await();
  }

  /** Asks the process to stop and does not wait. */
  public void requestStop() throws IOException {
    signal("TERM");
  }

  /** Freezes the process. */
  public void suspend() throws IOException {
    signal("STOP");
  }

  /** Lets a frozen process go on. */
  public void resume() throws IOException {
    signal("CONT");
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Returns the id of the process; 0 if it was never started. */
  public long pid() {
    return process == null ? 0 : process.pid();
  }

  /** Returns what the process wrote so far. */
  public String output() throws IOException {
    return Files.exists(log) ? Files.readString(log) : "";
  }

  /** Waits for the end of the process and returns its exit code. */
  public int await() throws IOException {
    if (process == null) {
      return 0;
    }
    try {
      if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly();
        throw new IOException("the process did not end within " + EXIT_TIMEOUT_SECONDS + " s");
      }
      return process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  private void signal(String name) throws IOException {
    if (!isAlive()) {
      return;
    }
    Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(pid())).inheritIO().start();
    try {
      kill.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
