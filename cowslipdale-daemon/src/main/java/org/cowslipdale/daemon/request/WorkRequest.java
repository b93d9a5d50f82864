package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.config.protocol.StatementBody;
import org.cowslipdale.core.view.WorkClass;

/**
 * The work that a caller requests: a statement or the begin of a transaction.
 *
 * @param database the name of the database
 * @param workClass the work class, which defines freshness, acknowledgement and time limits
 * @param body the statement; without content for the begin of a transaction
 */
public record WorkRequest(String database, WorkClass workClass, StatementBody body) {

  /** Checks that every component is set. */
  public WorkRequest {
    requireNonNull(database, "database");
    requireNonNull(workClass, "workClass");
    requireNonNull(body, "body");
  }
}
