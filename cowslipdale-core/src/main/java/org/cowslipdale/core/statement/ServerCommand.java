package org.cowslipdale.core.statement;

import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.Statement.PreparedStatement;
import org.jspecify.annotations.Nullable;

/** A command sent to a backend server over a connection. */
public sealed interface ServerCommand {

  /**
   * Forwards a caller's statement unchanged.
   *
   * @param statement the statement
   * @param minPosition the log position that the server must have applied before the statement
   *     runs, or null for none
   */
  record Run(Statement statement, @Nullable LogPosition minPosition) implements ServerCommand {}

  /**
   * Forwards the execution of a prepared statement.
   *
   * @param statement the caller's statement
   * @param name the name of the prepared statement on this connection
   * @param minPosition the log position that the server must have applied before the statement
   *     runs, or null for none
   */
  record RunPrepared(Statement.Execute statement, String name, @Nullable LogPosition minPosition)
      implements ServerCommand {}

  /**
   * Sets a session variable of the connection.
   *
   * @param name the name of the variable
   * @param value the new value
   */
  record Assign(String name, String value) implements ServerCommand {}

  /**
   * Prepares a statement on the connection.
   *
   * @param name the name of the prepared statement on this connection
   * @param prepared the statement to prepare
   */
  record Prepare(String name, PreparedStatement prepared) implements ServerCommand {}

  /** Discards all session variables and prepared statements of the connection. */
  record Reset() implements ServerCommand {}
}
