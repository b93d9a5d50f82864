package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

/**
 * A database group as declared by operators: one primary and its replicas.
 *
 * @param name the database name
 * @param servers the number of backend servers in the group, including the primary
 * @param connectionLimit the number of connections that one server accepts from all VMs together,
 *     or 0 if each server announces its own limit
 * @param synchronousReplicas the number of replicas that must receive a commit before it is
 *     acknowledged
 */
public record Database(String name, int servers, int connectionLimit, int synchronousReplicas) {

  /** Checks that the group has at least one server and that no limit is negative. */
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

  /** Returns the size of the smallest majority, so that any two majorities share a server. */
  public int majority() {
    return servers / 2 + 1;
  }
}
