package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

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

  private static final String IDENTITY_PREFIX = "open:";

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

  /**
   * Returns the identity under which requests of a route are counted and queued; no customer can
   * have it as a name.
   *
   * @param route the name of the route
   */
  public static String identity(String route) {
    return IDENTITY_PREFIX + route;
  }

  /**
   * Returns the route of an identity.
   *
   * @param identity the name of a customer or the identity of a route
   * @return the name of the route, or empty if the identity is a customer's name
   */
  public static Optional<String> routeName(String identity) {
    return identity.startsWith(IDENTITY_PREFIX)
        ? Optional.of(identity.substring(IDENTITY_PREFIX.length()))
        : Optional.empty();
  }
}
