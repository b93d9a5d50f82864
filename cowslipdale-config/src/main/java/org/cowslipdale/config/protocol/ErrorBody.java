package org.cowslipdale.config.protocol;

import org.cowslipdale.core.result.Outcome;
import org.cowslipdale.core.result.ResultCode;

/**
 * The JSON body of every answer that reports an error.
 *
 * @param code the number of the result code
 * @param name the name of the result code
 * @param outcome what is known about the execution of the request
 * @param message a human-readable description of the error
 */
public record ErrorBody(int code, String name, Outcome outcome, String message) {

  /**
   * Creates the body for a result code.
   *
   * @param code the result code
   * @param message a human-readable description of the error
   */
  public static ErrorBody of(ResultCode code, String message) {
    return new ErrorBody(code.number(), code.name(), code.outcome(), message);
  }
}
