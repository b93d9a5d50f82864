package org.cowslipdale.testsupport.demo;

import com.beust.jcommander.Parameter;

/** Command-line options of the demonstration. */
final class DemoOptions {

  @Parameter(names = "--keep", description = "Leave the fleet running and print commands to try")
  boolean keep;

  @Parameter(names = "--folder", description = "Where settings, data and logs are written")
  String folder = "run/demo";

  @Parameter(names = "--help", help = true, description = "Print this help and exit")
  boolean help;
}
