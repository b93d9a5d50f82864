package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

/**
 * A database group as operators declare it.
 *
 * @param name the database name
 * @param servers the number of backend servers in the group, including the primary
 * @param connectionLimit how many connections a server accepts from all VMs together, or 0 if each
 *     server announces its own limit
 * @param synchronousReplicas how many replicas have received a commit before it is acknowledged
 */
public record Database(String name, int servers, int connectionLimit, int synchronousReplicas) {

  /** Asserts that the group has at least one server. */
  public Database {
    requireNonNull(name, "name");
    if (servers < 1 || connectionLimit < 0 || synchronousReplicas < 0) {
      throw new IllegalArgumentException(
          "servers must be positive; connectionLimit and synchronousReplicas not negative");
    }
  }

  /**
   * Creates a group whose servers announce their own limits and replicate asynchronously.
   *
   * @param name the database name
   * @param servers the number of backend servers in the group, including the primary
   */
  public Database(String name, int servers) {
    this(name, servers, 0, 0);
  }

  /** Returns the smallest number of servers that overlaps every other such number of servers. */
  public int majority() {
    return servers / 2 + 1;
  }
}
