package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.ServerCommand;
import org.cowslipdale.core.statement.ServerReply;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.statement.Statement.PreparedStatement;
import org.cowslipdale.daemon.connection.BackendException;
import org.jspecify.annotations.Nullable;

/**
 * A pooled connection to a backend server that tracks the connection's session state, used by one
 * caller at a time.
 *
 * <p>Statements are prepared on the server under names that this class generates, so that the names
 * chosen by different callers cannot collide.
 */
final class PooledSession implements AutoCloseable {

  private final ServerConnection connection;
  private final String customer;
  private final Map<String, String> values = new HashMap<>();
  private final Map<PreparedStatement, String> preparedNames = new HashMap<>();
  private int lastPreparedNumber;

  PooledSession(ServerConnection connection, String customer) {
    this.connection = requireNonNull(connection, "connection");
    this.customer = requireNonNull(customer, "customer");
  }

  String customer() {
    return customer;
  }

  boolean isUsable() {
    return connection.isUsable();
  }

  /**
   * Returns the number of commands that are needed to give the connection the values of a session.
   */
  int countCommandsFor(Map<String, String> required) {
    if (!required.keySet().containsAll(values.keySet())) {
      return 1 + required.size();
    }
    int distance = 0;
    for (Map.Entry<String, String> value : required.entrySet()) {
      distance += value.getValue().equals(values.get(value.getKey())) ? 0 : 1;
    }
    return distance;
  }

  /**
   * Gives the connection the values of a session, and resets it first if it has values that the
   * session does not set.
   */
  void applyValues(Map<String, String> required, long timeoutMillis) throws BackendException {
    if (!required.keySet().containsAll(values.keySet())) {
      executeOrClose(new ServerCommand.Reset(), timeoutMillis);
      values.clear();
      preparedNames.clear();
    }
    for (Map.Entry<String, String> value : required.entrySet()) {
      if (!value.getValue().equals(values.get(value.getKey()))) {
        assign(value.getKey(), value.getValue(), timeoutMillis);
      }
    }
  }

  /** Sets one value of the connection on the server. */
  void assign(String name, String value, long timeoutMillis) throws BackendException {
    executeOrClose(new ServerCommand.Assign(name, value), timeoutMillis);
    values.put(name, value);
  }

  /** Executes a statement. */
  ServerReply execute(Statement statement, @Nullable LogPosition after, long timeoutMillis)
      throws BackendException {
    return connection.execute(new ServerCommand.Run(statement, after), timeoutMillis);
  }

  /** Executes a prepared statement, and prepares it on the server first if necessary. */
  ServerReply execute(
      Statement.Execute statement,
      PreparedStatement prepared,
      @Nullable LogPosition after,
      long timeoutMillis)
      throws BackendException {
    String name = prepare(prepared, timeoutMillis);
    return connection.execute(new ServerCommand.RunPrepared(statement, name, after), timeoutMillis);
  }

  /**
   * Prepares a statement on the server unless it is already prepared, and returns its name there.
   */
  String prepare(PreparedStatement prepared, long timeoutMillis) throws BackendException {
    String known = preparedNames.get(prepared);
    if (known != null) {
      return known;
    }
    String name = "p" + ++lastPreparedNumber;
    executeOrClose(new ServerCommand.Prepare(name, prepared), timeoutMillis);
    preparedNames.put(prepared, name);
    return name;
  }

  /** Discards all names of prepared statements after the server reported one as not prepared. */
  void clearPrepared() {
    preparedNames.clear();
  }

  @Override
  public void close() {
    connection.close();
  }

  private void executeOrClose(ServerCommand command, long timeoutMillis) throws BackendException {
    ServerReply reply = connection.execute(command, timeoutMillis);
    if (reply.failure() != null) {
      connection.close();
      throw new BackendException(
          false,
          new IllegalStateException("the server refused to prepare the connection: " + reply));
    }
  }
}
