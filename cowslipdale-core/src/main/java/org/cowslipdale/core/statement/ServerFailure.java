package org.cowslipdale.core.statement;

/** Why a backend server did not complete a statement. */
public enum ServerFailure {
  /** The server is busy; nothing ran. */
  BUSY(false),
  /** The server's log lacks the position asked for; nothing ran. */
  BEHIND(false),
  /** The server is not the primary; nothing of the transaction is kept. */
  NOT_PRIMARY(false),
  /** The connection has not prepared the statement; nothing ran. */
  NOT_PREPARED(false),
  /** Another server listens at the address; nothing ran. */
  WRONG_SERVER(false),
  /** The server has too many connections; nothing ran. */
  TOO_MANY_CONNECTIONS(false),
  /** The statement or its place in the conversation is not valid; nothing ran. */
  INVALID(false),
  /** The transaction was aborted; nothing of it is kept. */
  ABORTED(false),
  /** The statement ran and failed. */
  FAILED(true),
  /** The statement ran and was stopped. */
  TIMED_OUT(true),
  /** The server gave a failure that is not known here; it may have run. */
  OTHER(true);

  private final boolean mayHaveRun;

  ServerFailure(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** Returns whether the statement may have run. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }
}
