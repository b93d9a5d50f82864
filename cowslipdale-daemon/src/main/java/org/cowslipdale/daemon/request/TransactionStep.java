package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.config.protocol.StatementBody;
import org.cowslipdale.core.session.SessionToken;
import org.jspecify.annotations.Nullable;

/**
 * A step of a transaction, on its way to the VM that holds the transaction.
 *
 * @param transaction the transaction id
 * @param kind what to do
 * @param customer the customer whose key came with the request
 * @param session what the session has seen
 * @param body the statement; empty unless the kind is a statement
 * @param traceparent the trace context, if any
 */
public record TransactionStep(
    String transaction,
    Kind kind,
    String customer,
    SessionToken session,
    StatementBody body,
    @Nullable String traceparent) {

  /** Asserts that the required components are set. */
  public TransactionStep {
    requireNonNull(transaction, "transaction");
    requireNonNull(kind, "kind");
    requireNonNull(customer, "customer");
    requireNonNull(session, "session");
    requireNonNull(body, "body");
  }

  /** What to do in the transaction. */
  public enum Kind {
    /** Run a statement. */
    STATEMENT,
    /** Commit. */
    COMMIT,
    /** Roll back. */
    ROLLBACK
  }
}
