package org.cowslipdale.cli;

import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.jspecify.annotations.Nullable;

/** Signals that a command failed, with the exit code of the tool. */
final class CliException extends CowslipException {

  private final ExitCode exitCode;

  CliException(ExitCode exitCode, ResultCode code, String message, @Nullable Throwable cause) {
    super(code, message, cause);
    this.exitCode = exitCode;
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
