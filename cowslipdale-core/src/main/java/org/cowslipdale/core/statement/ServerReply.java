package org.cowslipdale.core.statement;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.cowslipdale.core.session.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * The whole answer of a backend server to one statement.
 *
 * @param rows the rows
 * @param signature proves that the server ran the statement; empty unless it completed
 * @param failure why it did not complete, or null if it did
 * @param state whether the connection is inside a transaction afterwards
 * @param position the position of the server's log, in terms of that log, if it was told
 */
public record ServerReply(
    List<String> rows,
    String signature,
    @Nullable ServerFailure failure,
    TransactionState state,
    @Nullable LogPosition position) {

  /** Copies the rows. */
  public ServerReply {
    rows = List.copyOf(rows);
    requireNonNull(signature, "signature");
    requireNonNull(state, "state");
  }
}
