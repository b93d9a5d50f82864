package org.cowslipdale.daemon.connection;

import java.util.function.BooleanSupplier;
import org.cowslipdale.config.protocol.BackendAnswer;
import org.cowslipdale.config.protocol.BackendCall;

/** A connection to a backend server that executes one call at a time. */
public interface BackendConnection extends AutoCloseable {

  /**
   * Sends a call and waits for its answer.
   *
   * <p>After an exception the connection is unusable and must be closed.
   *
   * @param operation the operation that the server performs with the call
   * @param call the call
   * @param timeoutMillis the timeout for the answer, in milliseconds
   * @param cancelled polled during the wait; returns whether the answer is no longer needed, which
   *     ends the wait with an exception
   * @return the answer to exactly this call
   * @throws BackendException if no answer to this call arrives
   */
  BackendAnswer call(
      Operation operation, BackendCall call, long timeoutMillis, BooleanSupplier cancelled)
      throws BackendException;

  /** Returns whether the connection can execute a call. */
  boolean isUsable();

  @Override
  void close();

  /** The operations that a backend server performs with a call. */
  enum Operation {
    /** Runs a statement. */
    STATEMENT("/statement"),
    /** Begins a transaction on the connection. */
    BEGIN("/begin"),
    /** Commits the transaction of the connection. */
    COMMIT("/commit"),
    /** Rolls back the transaction of the connection. */
    ROLLBACK("/rollback");

    private final String path;

    Operation(String path) {
      this.path = path;
    }

    /** Returns the HTTP path of the operation. */
    public String path() {
      return path;
    }
  }
}
