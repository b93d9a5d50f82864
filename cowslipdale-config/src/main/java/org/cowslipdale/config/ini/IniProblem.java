package org.cowslipdale.config.ini;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.result.ResultCode;

/**
 * An error in an INI file.
 *
 * @param code the result code
 * @param file the file name to show
 * @param line the line number, starting at 1, or 0 if the error concerns the whole file
 * @param message a description of the error and of the allowed values
 */
public record IniProblem(ResultCode code, String file, int line, String message) {

  /** Rejects null components. */
  public IniProblem {
    requireNonNull(code, "code");
    requireNonNull(file, "file");
    requireNonNull(message, "message");
  }

  @Override
  public String toString() {
    String location = line == 0 ? file : file + ":" + line;
    return "%s: error %d: %s".formatted(location, code.number(), message);
  }
}
