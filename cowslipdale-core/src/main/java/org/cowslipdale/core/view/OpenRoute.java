package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

import java.util.Optional;

/**
 * A route that runs a fixed read-only statement for callers without a key.
 *
 * @param name the route name, as it appears in request paths
 * @param database the database to read from
 * @param workClass the work class whose limits apply; it must be read-only
 * @param statement the statement that runs; callers cannot change it
 * @param ratePerSecond sustained requests per second over the whole fleet
 * @param burst the number of requests that may exceed the sustained rate at once
 */
public record OpenRoute(
    String name,
    String database,
    String workClass,
    String statement,
    double ratePerSecond,
    long burst) {

  private static final String IDENTITY_PREFIX = "open:";

  /** Rejects null components and checks that the limits are positive. */
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
   * Returns the identity under which requests of a route are rate-limited and queued.
   *
   * <p>No customer can have this identity as its name.
   *
   * @param route the name of the route
   */
  public static String identity(String route) {
    return IDENTITY_PREFIX + route;
  }

  /**
   * Returns the name of the open route with a given identity.
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
