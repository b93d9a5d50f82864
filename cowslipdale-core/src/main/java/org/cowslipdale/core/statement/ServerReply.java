package org.cowslipdale.core.statement;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.cowslipdale.core.session.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * The complete reply of a backend server to one statement.
 *
 * @param rows the result rows
 * @param signature the server's proof that it ran the statement; empty unless the statement
 *     completed
 * @param failure the reason why the statement did not complete, or null if it did
 * @param state the transaction state of the connection after the statement
 * @param position the server's log position, in the numbering of that log, or null if not reported
 */
public record ServerReply(
    List<String> rows,
    String signature,
    @Nullable ServerFailure failure,
    TransactionState state,
    @Nullable LogPosition position) {

  /** Copies the rows and rejects a null signature or state. */
  public ServerReply {
    rows = List.copyOf(rows);
    requireNonNull(signature, "signature");
    requireNonNull(state, "state");
  }
}
