package org.cowslipdale.core.permit;

import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;

/**
 * A demand for a permit to open one connection to a server.
 *
 * @param incarnation identifies the process of the VM
 * @param number the sequence number of the demand within the process
 * @param server the name of the server
 * @param capacity the number of connections that all VMs together may have to the server
 * @param priority the priority of the request that waits for the connection, 0 being the highest;
 *     null in demands of VMs that do not order by priority, which count as the lowest priority
 */
public record PermitDemand(
    long incarnation, long number, String server, int capacity, @Nullable Integer priority) {

  /** Checks that the server is not {@code null}. */
  public PermitDemand {
    requireNonNull(server, "server");
  }

  /**
   * Creates a demand without a priority.
   *
   * @param incarnation identifies the process of the VM
   * @param number the sequence number of the demand within the process
   * @param server the name of the server
   * @param capacity the number of connections that all VMs together may have to the server
   */
  public PermitDemand(long incarnation, long number, String server, int capacity) {
    this(incarnation, number, server, capacity, null);
  }

  /** Returns the priority by which the demand is ordered. */
  int effectivePriority() {
    return priority == null ? Integer.MAX_VALUE : priority;
  }
}
