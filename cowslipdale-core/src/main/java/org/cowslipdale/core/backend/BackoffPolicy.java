package org.cowslipdale.core.backend;

/**
 * Decides when a VM may send statements to a server that reported that it is busy.
 *
 * <p>Implementations are thread-safe.
 */
public sealed interface BackoffPolicy permits ServerBackoff, PriorityBackoff {

  /**
   * Records that a server was too busy to accept a statement or a connection.
   *
   * @param server the name of the server
   * @param priority the priority of the statement; 0 is the highest
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  void rejected(String server, int priority, long now);

  /**
   * Records that a server ran a statement.
   *
   * @param server the name of the server
   * @param priority the priority of the statement
   * @param responseMillis how long the server took, in milliseconds
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  void served(String server, int priority, long responseMillis, long now);

  /**
   * Requests permission to send a statement now, and counts it as sent if it is granted.
   *
   * @param server the name of the server
   * @param priority the priority of the statement
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  boolean trySend(String server, int priority, long now);

  /**
   * Returns the time until which statements of a priority are not sent to a server, on the VM's
   * monotonic clock in milliseconds; {@link Long#MIN_VALUE} if there is none.
   *
   * @param server the name of the server
   * @param priority the priority of the statements
   */
  long endMillis(String server, int priority);

  /**
   * Returns whether a server was busy recently, so that reads should prefer other servers.
   *
   * @param server the name of the server
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  boolean isOverloaded(String server, long now);
}
