package org.cowslipdale.cli;

/** Exit codes of the tool. */
enum ExitCode {
  /** Success. */
  OK(0),
  /** The fleet rejected the request. */
  REFUSED(1),
  /** The command line is invalid. */
  USAGE(2),
  /** A file cannot be read or is invalid. */
  FILE(3),
  /** No VM responds, or the outcome is unknown. */
  UNREACHABLE(4),
  /** The change was accepted, but was not in force on all VMs in time. */
  NOT_IN_FORCE(5);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }
}
