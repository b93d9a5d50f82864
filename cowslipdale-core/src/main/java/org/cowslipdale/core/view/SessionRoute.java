package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

/**
 * What a caller's session may open, with the targets that apply to its statements.
 *
 * @param name the name under which callers open it
 * @param database the database group that serves it
 * @param freshness how recent the data of reads must be
 * @param statementLimitMillis how long one statement may take, waiting included, in milliseconds
 * @param targetMillis how long a whole operation should take at most, in milliseconds
 * @param priority 0 is served first
 * @param open whether callers need no key
 */
public record SessionRoute(
    String name,
    String database,
    Freshness freshness,
    long statementLimitMillis,
    long targetMillis,
    int priority,
    boolean open) {

  /** Asserts that every component is set and the limit positive. */
  public SessionRoute {
    requireNonNull(name, "name");
    requireNonNull(database, "database");
    requireNonNull(freshness, "freshness");
    if (statementLimitMillis <= 0) {
      throw new IllegalArgumentException("statementLimitMillis must be positive");
    }
  }
}
