package org.cowslipdale.testsupport.fleet;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * A process that can be started, stopped, killed, suspended and restarted.
 *
 * <p>A restart uses the same command and appends to the same log file.
 */
public final class ChildProcess implements AutoCloseable {

  private static final long EXIT_TIMEOUT_SECONDS = 60;

  private final List<String> command;
  private final Path log;
  private @Nullable Process process;

  /**
   * Creates a process without starting it.
   *
   * @param command the program and its arguments
   * @param log the file to which standard output and standard error are appended
   */
  public ChildProcess(List<String> command, Path log) {
    this.command = List.copyOf(command);
    this.log = log;
  }

  /**
   * Returns the command that runs a main class of a built module.
   *
   * <p>The JVM uses only the C1 compiler, which shortens the startup. Benchmarks set the system
   * property {@code cowslipdale.full-compiler} to use the C2 compiler as well.
   *
   * @param root the root of the repository
   * @param module the name of the module without the prefix {@code cowslipdale-}
   * @param main the fully qualified name of the main class
   * @param heap the maximum heap size, such as {@code 96m}
   * @param args the arguments of the main class
   */
  static List<String> javaCommand(
      Path root, String module, String main, String heap, List<String> args) throws IOException {
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

  /** Starts the process unless it is already running. */
  public void start() throws IOException {
    if (process == null || !process.isAlive()) {
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start();
    }
  }

  /** Kills the process with {@code SIGKILL} and waits for its exit. */
  public void kill() throws IOException {
    signal("KILL");
    await();
  }

  /**
   * Requests the process to stop with {@code SIGTERM} and waits for its exit.
   *
   * @return the exit code, or 0 if the process was never started
   * @throws IOException if the process does not exit within {@value #EXIT_TIMEOUT_SECONDS} s
   */
  public int stop() throws IOException {
    signal("TERM");
    return await();
  }

  /** Requests the process to stop with {@code SIGTERM} without waiting for its exit. */
  public void requestStop() throws IOException {
    signal("TERM");
  }

  /** Suspends the process with {@code SIGSTOP}. */
  public void suspend() throws IOException {
    signal("STOP");
  }

  /** Resumes a suspended process with {@code SIGCONT}. */
  public void resume() throws IOException {
    signal("CONT");
  }

  /** Returns whether the process was started and has not exited; it may be suspended. */
  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Returns the process ID, or 0 if the process was never started. */
  public long pid() {
    return process == null ? 0 : process.pid();
  }

  /** Returns the content of the log file, including the output of earlier runs. */
  public String output() throws IOException {
    return Files.exists(log) ? Files.readString(log) : "";
  }

  /**
   * Waits for the exit of the process and kills it after {@value #EXIT_TIMEOUT_SECONDS} s.
   *
   * @return the exit code, or 0 if the process was never started
   * @throws IOException if the process does not exit in time or the wait is interrupted
   */
  public int await() throws IOException {
    if (process == null) {
      return 0;
    }
    try {
      if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        process.destroyForcibly();
        throw new IOException("the process did not exit within " + EXIT_TIMEOUT_SECONDS + " s");
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
