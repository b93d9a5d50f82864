package org.cowslipdale.daemon.process;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.util.Optional;
import org.cowslipdale.config.ini.IniException;
import org.cowslipdale.config.ini.IniFile;
import org.cowslipdale.config.settings.DaemonSettings;
import org.cowslipdale.config.settings.DaemonSettingsReader;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.daemon.adapter.Adapter;
import org.cowslipdale.daemon.storage.ControlStore;

/** Entry point of {@code cowslipdaled}. */
public final class DaemonMain {

  private static final String VERSION = "0.1.0";

  private DaemonMain() {}

  /**
   * Runs the daemon until it gets SIGTERM.
   *
   * @param args see {@code --help}
   */
  public static void main(String[] args) {
    run(args, Optional.empty());
  }

  /**
   * Runs the daemon with an adapter until it gets SIGTERM.
   *
   * @param args see {@code --help}
   * @param adapter translates for the platform on which the daemon runs
   */
  public static void run(String[] args, Adapter adapter) {
    run(args, Optional.of(adapter));
  }

  private static void run(String[] args, Optional<Adapter> adapter) {
    ExitCode exit = start(args, adapter);
    if (exit != ExitCode.OK) {
      System.exit(exit.number());
    }
  }

  private static ExitCode start(String[] args, Optional<Adapter> adapter) {
    DaemonOptions options = new DaemonOptions();
    JCommander commander =
        JCommander.newBuilder().programName("cowslipdaled").addObject(options).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println("cowslipdaled: " + e.getMessage() + "; see --help");
      return ExitCode.USAGE;
    }
    if (options.help) {
      commander.usage();
      return ExitCode.OK;
    }
    if (options.version) {
      System.out.println("cowslipdaled " + VERSION);
      return ExitCode.OK;
    }
    if (options.settings.isEmpty()) {
      System.err.println("cowslipdaled: --settings is required; see --help");
      return ExitCode.USAGE;
    }
    try {
      return start(options, adapter);
    } catch (CowslipException e) {
      System.err.println(formatError(e));
      return ExitCode.of(e.code());
    }
  }

  private static ExitCode start(DaemonOptions options, Optional<Adapter> adapter)
      throws CowslipException {
    DaemonSettings settings = DaemonSettingsReader.read(IniFile.read(Path.of(options.settings)));
    if (options.check) {
      System.out.println("the settings are valid");
      return ExitCode.OK;
    }
    if (options.initialize) {
      return initialize(settings);
    }
    System.setProperty("cowslipdale.log.format", settings.observability().logFormat());
    System.setProperty("cowslipdale.log.level", settings.observability().logLevel());
    Daemon daemon = new Daemon(settings, adapter);
    daemon.start();
    new SettingsWatcher(Path.of(options.settings), daemon::applySettings).start();
    Runtime.getRuntime().addShutdownHook(new Thread(daemon::close, "shutdown"));
    return ExitCode.OK;
  }

  private static ExitCode initialize(DaemonSettings settings) throws CowslipException {
    Path folder = settings.vm().dataFolder().orElse(null);
    if (!settings.storesControlLog() || folder == null) {
      throw new CowslipException(
          ResultCode.BAD_VALUE, "only a voter has a data folder to initialize");
    }
    ControlStore.initialize(folder, settings.control().voters().keySet());
    System.out.println("the data folder is initialized");
    return ExitCode.OK;
  }

  private static String formatError(CowslipException e) {
    boolean listsNumbers = e instanceof IniException;
    return listsNumbers
        ? String.valueOf(e.getMessage())
        : "cowslipdaled: error %d: %s".formatted(e.code().number(), e.getMessage());
  }
}
