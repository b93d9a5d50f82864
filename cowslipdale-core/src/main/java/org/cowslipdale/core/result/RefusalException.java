package org.cowslipdale.core.result;

/** Thrown when a request is refused; carries the result code and message for its caller. */
public final class RefusalException extends CowslipException {

  /**
   * Creates an exception with a message of its own.
   *
   * @param code the code to report
   * @param message the message for the caller
   */
  public RefusalException(ResultCode code, String message) {
    super(code, message);
  }

  /**
   * Creates an exception whose message is the text of the code.
   *
   * @param code the code to report
   */
  public RefusalException(ResultCode code) {
    super(code, code.text());
  }
}
