package org.cowslipdale.daemon.connection;

import java.util.Optional;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.statement.ServerFailure;
import org.jspecify.annotations.Nullable;

/** Thrown when a backend server refuses a connection or gives no usable answer. */
public class BackendException extends CowslipException {

  private final boolean mayHaveReachedServer;
  private final @Nullable ServerFailure failure;

  /**
   * Creates an exception.
   *
   * @param mayHaveReachedServer whether the call may have reached the server
   * @param cause the underlying failure
   */
  public BackendException(boolean mayHaveReachedServer, Throwable cause) {
    super(
        mayHaveReachedServer ? ResultCode.OUTCOME_UNKNOWN : ResultCode.BACKEND_UNREACHABLE,
        (mayHaveReachedServer ? ResultCode.OUTCOME_UNKNOWN : ResultCode.BACKEND_UNREACHABLE).text(),
        cause);
    this.mayHaveReachedServer = mayHaveReachedServer;
    this.failure = null;
  }

  /**
   * Creates an exception for a server that refused the connection.
   *
   * @param failure the reason
   */
  public BackendException(ServerFailure failure) {
    super(ResultCode.BACKEND_UNREACHABLE, "The backend server refused the connection: " + failure);
    this.mayHaveReachedServer = false;
    this.failure = failure;
  }

  /**
   * Returns the reason for which the server refused the connection, or empty if it gave none or the
   * failure is a different one.
   */
  public Optional<ServerFailure> failure() {
    return Optional.ofNullable(failure);
  }

  /** Returns whether the call may have reached the server. */
  public boolean mayHaveReachedServer() {
    return mayHaveReachedServer;
  }
}
