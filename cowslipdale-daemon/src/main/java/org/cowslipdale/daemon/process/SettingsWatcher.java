package org.cowslipdale.daemon.process;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cowslipdale.config.ini.IniException;
import org.cowslipdale.config.ini.IniFile;
import org.cowslipdale.config.settings.DaemonSettings;
import org.cowslipdale.config.settings.DaemonSettingsReader;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reloads the settings file when its contents change.
 *
 * <p>The file is polled, because it may change without a signal. SIGHUP therefore needs no handler.
 * It is ignored, because otherwise the Java runtime would shut the daemon down.
 */
final class SettingsWatcher {

  private static final Logger LOG = LoggerFactory.getLogger(SettingsWatcher.class);

  /** Well below the time within which changed seeds may be needed. */
  private static final long POLL_INTERVAL_MILLIS = 1_000;

  private static final int SIGHUP = 1;
  private static final long SIG_IGN = 1;

  private final Path file;
  private final Consumer<DaemonSettings> listener;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("settings").daemon(true).factory());
  private String lastText = "";

  SettingsWatcher(Path file, Consumer<DaemonSettings> listener) {
    this.file = requireNonNull(file, "file");
    this.listener = requireNonNull(listener, "listener");
  }

  void start() {
    ignoreHangup();
    try {
      lastText = Files.readString(file);
    } catch (IOException e) {
      LOG.warn("cannot read the settings file for later comparison: {}", e.getMessage());
    }
    executor.scheduleWithFixedDelay(
        this::reloadIfChanged, POLL_INTERVAL_MILLIS, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void reloadIfChanged() {
    try {
      String text = Files.readString(file);
      if (text.equals(lastText)) {
        return;
      }
      lastText = text;
      listener.accept(DaemonSettingsReader.read(IniFile.read(file)));
      DecisionLog.line(LogEvent.SETTINGS_RELOADED).write();
    } catch (IOException e) {
      LOG.warn("cannot read the settings file; keeping the previous settings: {}", e.getMessage());
    } catch (IniException e) {
      LOG.error(
          "the changed settings are not valid; keeping the previous settings: {}", e.getMessage());
    } catch (RuntimeException e) {
      LOG.error("failed to apply the changed settings", e);
    }
  }

  /**
   * Ignores SIGHUP.
   *
   * <p>The function has the same descriptor as the clock function in {@link
   * org.cowslipdale.daemon.version.VmClock}, so that the runtime generates the classes for the call
   * only once. With its {@code int} result, only the lower half of the address of the previous
   * handler is returned.
   */
  @SuppressWarnings("restricted")
  private static void ignoreHangup() {
    Linker linker = Linker.nativeLinker();
    FunctionDescriptor type =
        FunctionDescriptor.of(ValueLayout.JAVA_INT, ValueLayout.JAVA_INT, ValueLayout.ADDRESS);
    try {
      int previousHandler =
          (int)
              linker
                  .downcallHandle(linker.defaultLookup().findOrThrow("signal"), type)
                  .invokeExact(SIGHUP, MemorySegment.ofAddress(SIG_IGN));
      LOG.debug("ignoring SIGHUP; lower half of the previous handler address: {}", previousHandler);
    } catch (RuntimeException | Error e) {
      throw e;
    } catch (Throwable e) {
      throw new IllegalStateException("cannot ignore SIGHUP", e);
    }
  }
}
