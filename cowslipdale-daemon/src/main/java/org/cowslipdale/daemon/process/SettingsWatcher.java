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
 * Reads the settings file again when it has changed.
 *
 * <p>The file may change without a signal, so it is looked at periodically, and SIGHUP needs no
 * handler; it is ignored, because the runtime would stop the daemon otherwise.
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
      LOG.warn("the settings file cannot be read again: {}", e.getMessage());
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
      LOG.warn("the settings file cannot be read; the former settings stay: {}", e.getMessage());
    } catch (IniException e) {
      LOG.error("the changed settings are not valid; the former ones stay: {}", e.getMessage());
    } catch (RuntimeException e) {
      LOG.error("the changed settings could not be taken over", e);
    }
  }

  /**
   * Ignores SIGHUP.
   *
   * <p>The call has the type of the clock's in {@link org.cowslipdale.daemon.version.VmClock}, so
   * that the runtime makes its classes once; of the former handler only the lower half is returned.
   */
  @SuppressWarnings("restricted")
  private static void ignoreHangup() {
    Linker linker = Linker.nativeLinker();
    FunctionDescriptor type =
        FunctionDescriptor.of(ValueLayout.JAVA_INT, ValueLayout.JAVA_INT, ValueLayout.ADDRESS);
    try {
      int before =
          (int)
              linker
                  .downcallHandle(linker.defaultLookup().findOrThrow("signal"), type)
                  .invokeExact(SIGHUP, MemorySegment.ofAddress(SIG_IGN));
      LOG.debug("SIGHUP is ignored; the address of its former handler ended in {}", before);
    } catch (RuntimeException | Error e) {
      throw e;
    } catch (Throwable e) {
      throw new IllegalStateException("SIGHUP cannot be ignored", e);
    }
  }
}
