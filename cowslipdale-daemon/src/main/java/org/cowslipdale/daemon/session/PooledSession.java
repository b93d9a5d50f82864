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
 * A connection to a backend server with what is known of its state, used by one caller at a time.
 *
 * <p>Prepared statements are known to the server under names of this connection, so that callers'
 * names cannot collide.
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

  /** Returns how many commands are needed before statements of a session can run. */
  int countCommandsFor(Map<String, String> wanted) {
    if (!wanted.keySet().containsAll(values.keySet())) {
      return 1 + wanted.size();
    }
    int distance = 0;
    for (Map.Entry<String, String> value : wanted.entrySet()) {
      distance += value.getValue().equals(values.get(value.getKey())) ? 0 : 1;
    }
    return distance;
  }

  /** Gives the connection the values of a session. */
  void applyValues(Map<String, String> wanted, long timeoutMillis) throws BackendException {
    if (!wanted.keySet().containsAll(values.keySet())) {
      executeOrClose(new ServerCommand.Reset(), timeoutMillis);
      values.clear();
      preparedNames.clear();
    }
    for (Map.Entry<String, String> value : wanted.entrySet()) {
      if (!value.getValue().equals(values.get(value.getKey()))) {
        assign(value.getKey(), value.getValue(), timeoutMillis);
      }
    }
  }

  /** Sets one value of the connection. */
  void assign(String name, String value, long timeoutMillis) throws BackendException {
    executeOrClose(new ServerCommand.Assign(name, value), timeoutMillis);
    values.put(name, value);
  }

  /** Passes a statement on. */
  ServerReply execute(Statement statement, @Nullable LogPosition after, long timeoutMillis)
      throws BackendException {
    return connection.execute(new ServerCommand.Run(statement, after), timeoutMillis);
  }

  /** Passes the execution of a prepared statement on, and prepares it first if necessary. */
  ServerReply execute(
      Statement.Execute statement,
      PreparedStatement what,
      @Nullable LogPosition after,
      long timeoutMillis)
      throws BackendException {
    String name = prepare(what, timeoutMillis);
    return connection.execute(new ServerCommand.RunPrepared(statement, name, after), timeoutMillis);
  }

  /** Makes a prepared statement known to the server, and returns its name there. */
  String prepare(PreparedStatement what, long timeoutMillis) throws BackendException {
    String known = preparedNames.get(what);
    if (known != null) {
      return known;
    }
    String name = "p" + ++lastPreparedNumber;
    executeOrClose(new ServerCommand.Prepare(name, what), timeoutMillis);
    preparedNames.put(what, name);
    return name;
  }

  /** Forgets what is prepared, because the server does not know it any more. */
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
