package org.cowslipdale.core.result;

import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;

/** Base class of all checked exceptions of cowslipdale, with the {@link ResultCode} to report. */
public class CowslipException extends Exception {

  private final ResultCode code;

  /**
   * Creates an exception without a cause.
   *
   * @param code the code to report
   * @param message a human-readable description of the error
   */
  public CowslipException(ResultCode code, String message) {
    this(code, message, null);
  }

  /**
   * Creates an exception.
   *
   * @param code the code to report
   * @param message a human-readable description of the error
   * @param cause the underlying exception, or null for none
   */
  public CowslipException(ResultCode code, String message, @Nullable Throwable cause) {
    super(message, cause);
    this.code = requireNonNull(code, "code");
  }

  /** Returns the code to report. */
  public ResultCode code() {
    return code;
  }
}
