package org.cowslipdale.core.statement;

/** The transaction state of a session or of a connection to a backend server. */
public enum TransactionState {
  /** No transaction is open. */
  IDLE,
  /** A transaction is open. */
  OPEN,
  /** A transaction is open but has failed; it accepts no statement except one that ends it. */
  FAILED
}
