package org.cowslipdale.core.result;

/** Tells a caller why its request did not get a regular answer. */
public final class RefusalException extends CowslipException {

  /**
   * Creates a refusal.
   *
   * @param code the code to report
   * @param message what happened, for the caller
   */
  public RefusalException(ResultCode code, String message) {
    super(code, message);
  }

  /**
   * Creates a refusal with the code's own text.
   *
   * @param code the code to report
   */
  public RefusalException(ResultCode code) {
    super(code, code.text());
  }
}
