package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

/**
 * A database group as operators declare it.
 *
 * @param name the database name
 * @param servers the number of backend servers in the group, including the primary
 */
public record Database(String name, int servers) {

  /** Asserts that the group has at least one server. */
  public Database {
    requireNonNull(name, "name");
    if (servers < 1) {
      throw new IllegalArgumentException("servers must be positive");
    }
  }

  /** Returns the smallest number of servers that overlaps every other such number of servers. */
  public int majority() {
    return servers / 2 + 1;
  }
}
