package org.cowslipdale.core.statement;

/** Whether a session or a server connection is inside a transaction. */
public enum TransactionState {
  /** No transaction is open. */
  IDLE,
  /** A transaction is open. */
  OPEN,
  /** The open transaction failed and can only be ended. */
  FAILED
}
