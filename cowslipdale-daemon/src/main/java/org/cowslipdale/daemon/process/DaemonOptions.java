package org.cowslipdale.daemon.process;

import com.beust.jcommander.Parameter;

/** Command-line options of the daemon. */
final class DaemonOptions {

  @Parameter(names = "--settings", description = "Settings file (INI)")
  String settings = "";

  @Parameter(names = "--check", description = "Check the settings file and exit")
  boolean check;

  @Parameter(
      names = "--initialize",
      description = "Create the data folder of a voter of a new fleet and exit; use it once")
  boolean initialize;

  @Parameter(names = "--version", description = "Print the version and exit")
  boolean version;

  @Parameter(names = "--help", help = true, description = "Print this help and exit")
  boolean help;
}
