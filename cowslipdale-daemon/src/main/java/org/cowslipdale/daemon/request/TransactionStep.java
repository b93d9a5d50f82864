package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.config.protocol.StatementBody;
import org.cowslipdale.core.session.SessionToken;
import org.jspecify.annotations.Nullable;

/**
 * A step of a transaction, which runs on the VM that holds the transaction.
 *
 * @param transaction the transaction id
 * @param kind the operation to perform
 * @param customer the name of the authenticated customer
 * @param session the session token with the log positions that the session has seen
 * @param body the statement; without content unless the kind is {@link Kind#STATEMENT}
 * @param traceparent the W3C trace context, if any
 */
public record TransactionStep(
    String transaction,
    Kind kind,
    String customer,
    SessionToken session,
    StatementBody body,
    @Nullable String traceparent) {

  /** Checks that the required components are set. */
  public TransactionStep {
    requireNonNull(transaction, "transaction");
    requireNonNull(kind, "kind");
    requireNonNull(customer, "customer");
    requireNonNull(session, "session");
    requireNonNull(body, "body");
  }

  /** The operation that a step performs. */
  public enum Kind {
    /** Runs a statement. */
    STATEMENT,
    /** Commits the transaction. */
    COMMIT,
    /** Rolls back the transaction. */
    ROLLBACK
  }
}
