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
 * @param coldStartMillis how long a server stays slow after its start, in milliseconds, if it does
 *     not announce that itself; 0 in configurations stored by earlier versions
 * @param coldRequestsPerSecond the requests per second that a server takes from all VMs together
 *     while it is slow after its start, or 0 for no limit, as in configurations stored by earlier
 *     versions
 */
public record Database(
    String name,
    int servers,
    int connectionLimit,
    int synchronousReplicas,
    long coldStartMillis,
    double coldRequestsPerSecond) {

  /** Checks that the group has at least one server and that no limit is negative. */
  public Database {
    requireNonNull(name, "name");
    if (servers < 1 || connectionLimit < 0 || synchronousReplicas < 0) {
      throw new IllegalArgumentException(
          "servers must be positive; connectionLimit and synchronousReplicas not negative");
    }
    if (coldStartMillis < 0 || !(coldRequestsPerSecond >= 0)) {
      throw new IllegalArgumentException(
          "coldStartMillis and coldRequestsPerSecond must not be negative");
    }
  }

  /**
   * Creates a group without a limit for servers that have just started.
   *
   * @param name the database name
   * @param servers the number of backend servers in the group, including the primary
   * @param connectionLimit the number of connections that one server accepts from all VMs together,
   *     or 0 if each server announces its own limit
   * @param synchronousReplicas the number of replicas that must receive a commit before it is
   *     acknowledged
   */
  public Database(String name, int servers, int connectionLimit, int synchronousReplicas) {
    this(name, servers, connectionLimit, synchronousReplicas, 0, 0);
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
