package org.cowslipdale.testsupport.demo;

import com.beust.jcommander.Parameter;

/** Command-line options of the demonstration. */
final class DemoOptions {

  @Parameter(names = "--keep", description = "Keep the fleet running and print example commands")
  boolean keepRunning;

  @Parameter(
      names = "--folder",
      description = "Folder for settings, data and logs; deleted at the start")
  String folder = "run/demo";

  @Parameter(names = "--help", help = true, description = "Print this help and exit")
  boolean help;
}
