package org.cowslipdale.daemon.process;

import org.cowslipdale.core.result.ResultCode;

/** Exit codes of the daemon. */
enum ExitCode {
  /** Success. */
  OK(0),
  /** Internal error. */
  INTERNAL(1),
  /** The command line is invalid. */
  USAGE(2),
  /** The settings file cannot be read or is invalid. */
  SETTINGS(3),
  /** The data folder is damaged, in use or cannot be written. */
  DATA(4),
  /** An address cannot be bound. */
  ADDRESS(5);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }

  /** Returns the exit code for a failure during startup. */
  static ExitCode of(ResultCode code) {
    return switch (code) {
      case FILE_UNREADABLE, UNKNOWN_SECTION, UNKNOWN_KEY, BAD_VALUE, MISSING_KEY -> SETTINGS;
      case DATA_DAMAGED, DATA_NOT_WRITABLE, DATA_ALREADY_INITIALIZED, DATA_IN_USE -> DATA;
      case ADDRESS_IN_USE -> ADDRESS;
      default -> INTERNAL;
    };
  }
}
