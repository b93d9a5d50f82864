package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

/**
 * A read that anyone may run without a key.
 *
 * @param name the route name, as it appears in request paths
 * @param database the database that is read
 * @param workClass the class whose targets apply; it must be read-only
 * @param statement the statement that runs; callers cannot choose another
 * @param ratePerSecond sustained requests per second over the whole fleet
 * @param burst requests that may exceed the sustained rate at once
 */
public record OpenRoute(
    String name,
    String database,
    String workClass,
    String statement,
    double ratePerSecond,
    long burst) {

  /** Asserts that every component is set. */
  public OpenRoute {
    requireNonNull(name, "name");
    requireNonNull(database, "database");
    requireNonNull(workClass, "workClass");
    requireNonNull(statement, "statement");
    if (!(ratePerSecond > 0) || burst < 1) {
      throw new IllegalArgumentException("ratePerSecond and burst must be positive");
    }
  }
}
