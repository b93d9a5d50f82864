package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.config.protocol.StatementBody;
import org.cowslipdale.core.view.WorkClass;

/**
 * What a caller wants to run.
 *
 * @param database the database
 * @param workClass the class whose targets apply
 * @param body the statement; empty when a transaction begins
 */
public record WorkRequest(String database, WorkClass workClass, StatementBody body) {

  /** Asserts that every component is set. */
  public WorkRequest {
    requireNonNull(database, "database");
    requireNonNull(workClass, "workClass");
    requireNonNull(body, "body");
  }
}
