package org.cowslipdale.core.statement;

/** The reason why a backend server did not complete a statement. */
public enum ServerFailure {
  /** The server is busy; the statement did not run. */
  BUSY(false),
  /** The server has not applied the requested log position; the statement did not run. */
  BEHIND(false),
  /** The server is not the primary; no effect of the transaction remains. */
  NOT_PRIMARY(false),
  /** The statement is not prepared on the connection; it did not run. */
  NOT_PREPARED(false),
  /** A different server listens at the address; the statement did not run. */
  WRONG_SERVER(false),
  /** The server has reached its connection limit; the statement did not run. */
  TOO_MANY_CONNECTIONS(false),
  /** The statement is invalid, or invalid in the current state; it did not run. */
  INVALID(false),
  /** The transaction was aborted; none of its effects remain. */
  ABORTED(false),
  /** The statement ran and failed. */
  FAILED(true),
  /** The statement ran and was stopped because it exceeded its time limit. */
  TIMED_OUT(true),
  /** The server reported an unrecognized failure; the statement may have run. */
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
