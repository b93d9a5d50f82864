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
 */
public record Customer(String name, double ratePerSecond, long burst, Set<String> databases) {

  /** Copies the databases and checks that the limits are positive. */
  public Customer {
    requireNonNull(name, "name");
    databases = Set.copyOf(databases);
    if (!(ratePerSecond > 0) || burst < 1) {
      throw new IllegalArgumentException("ratePerSecond and burst must be positive");
    }
  }
}
