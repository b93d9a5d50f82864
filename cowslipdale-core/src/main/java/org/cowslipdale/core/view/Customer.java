package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

import java.util.Set;

/**
 * A customer, whose callers authenticate with its keys.
 *
 * @param name the customer name
 * @param ratePerSecond sustained requests per second over the whole fleet
 * @param burst the number of requests that may exceed the sustained rate at once, over the whole
 *     fleet
 * @param databases the databases that the customer may use
 * @param homeRegions the regions in which the customer's data may be handled; everywhere if empty.
 *     Missing in configurations stored by earlier versions
 */
public record Customer(
    String name, double ratePerSecond, long burst, Set<String> databases, Set<String> homeRegions) {

  /** Copies the sets and checks that the limits are positive. */
  public Customer {
    requireNonNull(name, "name");
    databases = Set.copyOf(databases);
    homeRegions = homeRegions == null ? Set.of() : Set.copyOf(homeRegions);
    if (!(ratePerSecond > 0) || burst < 1) {
      throw new IllegalArgumentException("ratePerSecond and burst must be positive");
    }
  }

  /**
   * Creates a customer whose data may be handled everywhere.
   *
   * @param name the customer name
   * @param ratePerSecond sustained requests per second over the whole fleet
   * @param burst the number of requests that may exceed the sustained rate at once, over the whole
   *     fleet
   * @param databases the databases that the customer may use
   */
  public Customer(String name, double ratePerSecond, long burst, Set<String> databases) {
    this(name, ratePerSecond, burst, databases, Set.of());
  }
}
