package org.cowslipdale.core.statement;

/** A statement that a caller sent in its session. */
public sealed interface Statement {

  /** Returns the identifier that the caller assigned to the statement. */
  String id();

  /** Returns the statement text as the caller sent it. */
  String text();

  /**
   * Begins a transaction.
   *
   * @param id the caller's identifier
   * @param text the statement text as the caller sent it
   * @param readOnly whether the transaction is read-only
   */
  record Begin(String id, String text, boolean readOnly) implements Statement {}

  /**
   * Commits the open transaction.
   *
   * @param id the caller's identifier
   * @param text the statement text as the caller sent it
   */
  record Commit(String id, String text) implements Statement {}

  /**
   * Rolls the open transaction back.
   *
   * @param id the caller's identifier
   * @param text the statement text as the caller sent it
   */
  record Rollback(String id, String text) implements Statement {}

  /**
   * Reads or writes data.
   *
   * @param id the caller's identifier
   * @param text the statement text as the caller sent it
   * @param write whether the statement writes data
   */
  record Access(String id, String text, boolean write) implements Statement {}

  /**
   * Executes a prepared statement.
   *
   * @param id the caller's identifier
   * @param text the statement text as the caller sent it
   * @param name the name of the prepared statement in the session
   * @param arguments the text after the name, which holds the arguments
   */
  record Execute(String id, String text, String name, String arguments) implements Statement {}

  /**
   * Sets a session variable.
   *
   * @param id the caller's identifier
   * @param text the statement text as the caller sent it
   * @param name the name of the variable
   * @param value the new value
   */
  record Assign(String id, String text, String name, String value) implements Statement {}

  /**
   * Prepares a statement under a name that is local to the session.
   *
   * @param id the caller's identifier
   * @param text the statement text as the caller sent it
   * @param name the name of the prepared statement in the session
   * @param prepared the statement to prepare
   */
  record Prepare(String id, String text, String name, PreparedStatement prepared)
      implements Statement {}

  /**
   * Removes a prepared statement from the session.
   *
   * @param id the caller's identifier
   * @param text the statement text as the caller sent it
   * @param name the name of the prepared statement in the session
   */
  record Deallocate(String id, String text, String name) implements Statement {}

  /**
   * A statement that could not be parsed.
   *
   * @param id the caller's identifier
   * @param text the statement text as the caller sent it
   * @param reason the parse error
   */
  record Malformed(String id, String text, String reason) implements Statement {}

  /**
   * The definition of a prepared statement.
   *
   * @param write whether the statement writes data
   * @param shape the text to prepare, as the caller sent it after the read or write marker
   */
  record PreparedStatement(boolean write, String shape) {}
}
