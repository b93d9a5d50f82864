package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.TransactionState;
import org.jspecify.annotations.Nullable;

/**
 * The answer to one statement of a session.
 *
 * @param rows the rows that the server returned
 * @param signature the server's signature, or empty if the statement was answered without a server
 * @param refusal why the statement did not complete, or null if it did
 * @param state whether the session is inside a transaction afterwards
 * @param position the position of the server's log, if a server answered
 */
public record SessionReply(
    List<String> rows,
    String signature,
    @Nullable RefusalException refusal,
    TransactionState state,
    @Nullable LogPosition position) {

  /** Copies the rows. */
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
