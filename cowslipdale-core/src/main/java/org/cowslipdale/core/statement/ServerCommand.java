package org.cowslipdale.core.statement;

import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.Statement.PreparedStatement;
import org.jspecify.annotations.Nullable;

/** What is sent to a backend server on a connection. */
public sealed interface ServerCommand {

  /**
   * Passes a caller's statement on, unchanged.
   *
   * @param statement the statement
   * @param minPosition the position that the server's log must contain before it runs, or null
   */
  record Run(Statement statement, @Nullable LogPosition minPosition) implements ServerCommand {}

  /**
   * Passes the execution of a prepared statement on.
   *
   * @param statement the caller's statement
   * @param name the name under which the connection prepared it
   * @param minPosition the position that the server's log must contain before it runs, or null
   */
  record RunPrepared(Statement.Execute statement, String name, @Nullable LogPosition minPosition)
      implements ServerCommand {}

  /**
   * Sets a session value of the connection.
   *
   * @param name the name of the value
   * @param value the value
   */
  record Assign(String name, String value) implements ServerCommand {}

  /**
   * Prepares a statement on the connection.
   *
   * @param name its name on this connection
   * @param prepared what is prepared
   */
  record Prepare(String name, PreparedStatement prepared) implements ServerCommand {}

  /** Drops all session values and prepared statements of the connection. */
  record Reset() implements ServerCommand {}
}
