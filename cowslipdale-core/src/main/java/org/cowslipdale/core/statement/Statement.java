package org.cowslipdale.core.statement;

/** A statement that a caller sent in its session. */
public sealed interface Statement {

  /** Returns the identifier that the caller gave the statement. */
  String id();

  /** Returns the text that the caller sent. */
  String text();

  /**
   * Begins a transaction.
   *
   * @param id the caller's identifier
   * @param text the text that the caller sent
   * @param readOnly whether the transaction only reads
   */
  record Begin(String id, String text, boolean readOnly) implements Statement {}

  /**
   * Commits the open transaction.
   *
   * @param id the caller's identifier
   * @param text the text that the caller sent
   */
  record Commit(String id, String text) implements Statement {}

  /**
   * Rolls the open transaction back.
   *
   * @param id the caller's identifier
   * @param text the text that the caller sent
   */
  record Rollback(String id, String text) implements Statement {}

  /**
   * Reads or writes data.
   *
   * @param id the caller's identifier
   * @param text the text that the caller sent
   * @param write whether it writes
   */
  record Access(String id, String text, boolean write) implements Statement {}

  /**
   * Runs a prepared statement.
   *
   * @param id the caller's identifier
   * @param text the text that the caller sent
   * @param name the name under which the session prepared it
   * @param arguments what follows the name
   */
  record Execute(String id, String text, String name, String arguments) implements Statement {}

  /**
   * Sets a value of the session.
   *
   * @param id the caller's identifier
   * @param text the text that the caller sent
   * @param name the name of the value
   * @param value the value
   */
  record Assign(String id, String text, String name, String value) implements Statement {}

  /**
   * Prepares a statement under a name of the session.
   *
   * @param id the caller's identifier
   * @param text the text that the caller sent
   * @param name the name
   * @param prepared what is prepared
   */
  record Prepare(String id, String text, String name, PreparedStatement prepared)
      implements Statement {}

  /**
   * Forgets a prepared statement.
   *
   * @param id the caller's identifier
   * @param text the text that the caller sent
   * @param name the name
   */
  record Deallocate(String id, String text, String name) implements Statement {}

  /**
   * A statement that cannot be understood.
   *
   * @param id the caller's identifier
   * @param text the text that the caller sent
   * @param reason what is wrong with it
   */
  record Malformed(String id, String text, String reason) implements Statement {}

  /**
   * What a prepared statement does.
   *
   * @param write whether it writes
   * @param shape its shape, as the caller sent it
   */
  record PreparedStatement(boolean write, String shape) {}
}
