package org.cowslipdale.daemon.session;

import java.util.Map;
import java.util.Optional;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.ServerReply;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.statement.Statement.PreparedStatement;
import org.cowslipdale.daemon.connection.BackendException;
import org.jspecify.annotations.Nullable;

/**
 * The exclusive use of a slot and a connection by one statement or transaction, until it is closed.
 *
 * <p>Unless it is marked as clean, its connection is closed with it.
 */
interface Checkout extends AutoCloseable {

  /**
   * Gives the connection the values of a session.
   *
   * @param values the values
   * @param timeoutMillis the timeout for each reply, in milliseconds
   * @throws BackendException if the server does not confirm them; the connection is unusable
   */
  void applyValues(Map<String, String> values, long timeoutMillis) throws BackendException;

  /**
   * Prepares a statement on the server unless it is already prepared.
   *
   * @param prepared the statement to prepare
   * @param timeoutMillis the timeout for the reply, in milliseconds
   * @throws BackendException if the server does not confirm it; the connection is unusable
   */
  void prepare(PreparedStatement prepared, long timeoutMillis) throws BackendException;

  /**
   * Sets one value of the connection on the server.
   *
   * @param name the name of the value
   * @param value the new value
   * @param timeoutMillis the timeout for the reply, in milliseconds
   * @throws BackendException if the server does not confirm it; the connection is unusable
   */
  void assign(String name, String value, long timeoutMillis) throws BackendException;

  /**
   * Executes a statement.
   *
   * @param statement the statement
   * @param prepared the prepared statement to execute, or null if the statement does not execute
   *     one
   * @param after the log position that the server must have applied, or null for none
   * @param timeoutMillis the timeout for the reply, in milliseconds
   * @throws BackendException if no complete reply arrives; the connection is unusable
   */
  ServerReply execute(
      Statement statement,
      @Nullable PreparedStatement prepared,
      @Nullable LogPosition after,
      long timeoutMillis)
      throws BackendException;

  /** Marks the connection as reusable: it has no command outstanding and no transaction open. */
  void markClean();

  /** Returns how long the latest statement took if a gateway holds the connection. */
  default Optional<RelayTiming> relayTiming() {
    return Optional.empty();
  }

  /** Records that the answer to the latest statement is not used. */
  default void markDiscarded() {}

  /** Ends the use; has no effect if it has already ended. */
  @Override
  void close();
}
