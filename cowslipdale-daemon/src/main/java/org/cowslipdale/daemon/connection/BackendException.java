package org.cowslipdale.daemon.connection;

import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;

/** Reports that a backend server gave no usable answer. */
public final class BackendException extends CowslipException {

  private final boolean sent;

  /**
   * Creates an exception.
   *
   * @param sent whether the call may have reached the server
   * @param cause the underlying failure
   */
  public BackendException(boolean sent, Throwable cause) {
    super(
        sent ? ResultCode.OUTCOME_UNKNOWN : ResultCode.BACKEND_UNREACHABLE,
        (sent ? ResultCode.OUTCOME_UNKNOWN : ResultCode.BACKEND_UNREACHABLE).text(),
        cause);
    this.sent = sent;
  }

  /** Returns whether the call may have reached the server. */
  public boolean isSent() {
    return sent;
  }
}
