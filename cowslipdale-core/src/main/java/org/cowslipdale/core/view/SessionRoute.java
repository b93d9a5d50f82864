package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

import java.util.Set;

/**
 * A route that callers open a session on, with the limits that apply to its statements.
 *
 * @param name the name under which callers open it
 * @param database the database group that serves it
 * @param freshness how recent the data of reads must be
 * @param statementLimitMillis the longest duration of one statement, including time in the queue,
 *     in milliseconds
 * @param targetMillis the target latency of a whole operation, in milliseconds
 * @param priority the priority; lower values are served first, 0 before all others
 * @param open whether callers may open the route without a key
 * @param homeRegions the regions in which the route's data may be handled; everywhere if empty.
 *     Missing in configurations stored by earlier versions
 */
public record SessionRoute(
    String name,
    String database,
    Freshness freshness,
    long statementLimitMillis,
    long targetMillis,
    int priority,
    boolean open,
    Set<String> homeRegions) {

  /**
   * Copies the regions, rejects other null components and checks that the statement limit is
   * positive.
   */
  public SessionRoute {
    requireNonNull(name, "name");
    requireNonNull(database, "database");
    requireNonNull(freshness, "freshness");
    homeRegions = homeRegions == null ? Set.of() : Set.copyOf(homeRegions);
    if (statementLimitMillis <= 0) {
      throw new IllegalArgumentException("statementLimitMillis must be positive");
    }
  }

  /**
   * Creates a route whose data may be handled everywhere.
   *
   * @param name the name under which callers open it
   * @param database the database group that serves it
   * @param freshness how recent the data of reads must be
   * @param statementLimitMillis the longest duration of one statement, including time in the queue,
   *     in milliseconds
   * @param targetMillis the target latency of a whole operation, in milliseconds
   * @param priority the priority; lower values are served first, 0 before all others
   * @param open whether callers may open the route without a key
   */
  public SessionRoute(
      String name,
      String database,
      Freshness freshness,
      long statementLimitMillis,
      long targetMillis,
      int priority,
      boolean open) {
    this(name, database, freshness, statementLimitMillis, targetMillis, priority, open, Set.of());
  }
}
