package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.TransactionState;
import org.jspecify.annotations.Nullable;

/**
 * The reply to one statement of a session.
 *
 * @param rows the rows that the server returned, possibly none
 * @param signature the server's signature, or empty if no server was involved
 * @param refusal the reason why the statement did not complete, or null if it did
 * @param state the transaction state of the session after the statement
 * @param position the position of the server's log, or null if it is not known
 */
public record SessionReply(
    List<String> rows,
    String signature,
    @Nullable RefusalException refusal,
    TransactionState state,
    @Nullable LogPosition position) {

  /** Copies the rows and checks the required components. */
  public SessionReply {
    rows = List.copyOf(rows);
    requireNonNull(signature, "signature");
    requireNonNull(state, "state");
  }

  static SessionReply completed(TransactionState state) {
    return new SessionReply(List.of(), "", null, state, null);
  }

  static SessionReply refused(RefusalException refusal, TransactionState state) {
    return new SessionReply(List.of(), "", refusal, state, null);
  }
}
