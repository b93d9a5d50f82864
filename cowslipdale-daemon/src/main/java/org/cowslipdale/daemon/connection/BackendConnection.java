package org.cowslipdale.daemon.connection;

import java.util.function.BooleanSupplier;
import org.cowslipdale.config.protocol.BackendAnswer;
import org.cowslipdale.config.protocol.BackendCall;

/** A connection to a backend server, which runs one call at a time. */
public interface BackendConnection extends AutoCloseable {

  /**
   * Sends a call and waits for its answer.
   *
   * <p>After an exception the connection is unusable and must be closed.
   *
   * @param operation what the server does with the call
   * @param call the call
   * @param timeoutMillis how long to wait for the answer, in milliseconds
   * @param useless tells that no answer can be used any more, which ends the wait
   * @return the answer to this call and no other
   * @throws BackendException if no answer to this call arrives
   */
  BackendAnswer call(
      Operation operation, BackendCall call, long timeoutMillis, BooleanSupplier useless)
      throws BackendException;

  /** Returns whether the connection can take a call. */
  boolean isUsable();

  @Override
  void close();

  /** What a backend server does with a call. */
  enum Operation {
    /** Runs a statement. */
    STATEMENT("/statement"),
    /** Begins a transaction on the connection. */
    BEGIN("/begin"),
    /** Commits the transaction of the connection. */
    COMMIT("/commit"),
    /** Rolls the transaction of the connection back. */
    ROLLBACK("/rollback");

    private final String path;

    Operation(String path) {
      this.path = path;
    }

    /** Returns the path of the operation. */
    public String path() {
      return path;
    }
  }
}
