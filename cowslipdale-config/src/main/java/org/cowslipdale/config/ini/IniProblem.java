package org.cowslipdale.config.ini;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.result.ResultCode;

/**
 * An error in an INI file.
 *
 * @param code the result code
 * @param file the file name as given by the user
 * @param line the line number, counted from 1; 0 if the whole file is meant
 * @param message what is wrong and what would be allowed
 */
public record IniProblem(ResultCode code, String file, int line, String message) {

  /** Asserts that every component is set. */
  public IniProblem {
    requireNonNull(code, "code");
    requireNonNull(file, "file");
    requireNonNull(message, "message");
  }

  @Override
  public String toString() {
    String place = line == 0 ? file : file + ":" + line;
    return "%s: error %d: %s".formatted(place, code.number(), message);
  }
}
