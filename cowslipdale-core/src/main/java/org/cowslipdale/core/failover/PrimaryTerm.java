package org.cowslipdale.core.failover;

import static java.util.Objects.requireNonNull;

/**
 * Identifies the primary of a database in a term. VMs report the primaries that they can or cannot
 * reach in this form.
 *
 * @param database the database
 * @param term the term in which the server is primary
 */
public record PrimaryTerm(String database, long term) {

  /** Checks that the database is set. */
  public PrimaryTerm {
    requireNonNull(database, "database");
  }
}
