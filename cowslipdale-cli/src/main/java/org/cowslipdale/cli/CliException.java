package org.cowslipdale.cli;

import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.jspecify.annotations.Nullable;

/** Reports why a command failed and with which exit code the tool ends. */
final class CliException extends CowslipException {

  private final ExitCode exitCode;

  CliException(ExitCode exit, ResultCode code, String message, @Nullable Throwable cause) {
    super(code, message, cause);
    this.exitCode = exit;
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
