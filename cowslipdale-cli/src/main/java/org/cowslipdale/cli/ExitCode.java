package org.cowslipdale.cli;

/** Exit codes of the tool. */
enum ExitCode {
  /** Success. */
  OK(0),
  /** The fleet refused the call. */
  REFUSED(1),
  /** The command line is wrong. */
  USAGE(2),
  /** The configuration file is wrong. */
  FILE(3),
  /** No VM answers, or the outcome is unknown. */
  UNREACHABLE(4),
  /** The change is accepted but was not in force everywhere in time. */
  NOT_IN_FORCE(5);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }
}
