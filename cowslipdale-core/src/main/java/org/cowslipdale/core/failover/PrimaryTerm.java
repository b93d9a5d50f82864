package org.cowslipdale.core.failover;

import static java.util.Objects.requireNonNull;

/**
 * A VM's statement that it cannot reach a primary.
 *
 * @param database the database
 * @param term the term of the primary
 */
public record PrimaryTerm(String database, long term) {

  /** Asserts that the database is set. */
  public PrimaryTerm {
    requireNonNull(database, "database");
  }
}
