package org.cowslipdale.daemon.connection;

import java.util.Optional;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.statement.ServerFailure;
import org.jspecify.annotations.Nullable;

/** Reports that a backend server gave no usable answer. */
public final class BackendException extends CowslipException {

  private final boolean mayHaveReachedServer;
  private final @Nullable ServerFailure failure;

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
    this.mayHaveReachedServer = sent;
    this.failure = null;
  }

  /**
   * Creates an exception for a server that refused the connection itself.
   *
   * @param failure why it refused
   */
  public BackendException(ServerFailure failure) {
    super(ResultCode.BACKEND_UNREACHABLE, "The backend server refused the connection: " + failure);
    this.mayHaveReachedServer = false;
    this.failure = failure;
  }

  /** Returns why the server refused the connection, or empty if it gave no reason. */
  public Optional<ServerFailure> failure() {
    return Optional.ofNullable(failure);
  }

  /** Returns whether the call may have reached the server. */
  public boolean mayHaveReachedServer() {
    return mayHaveReachedServer;
  }
}
