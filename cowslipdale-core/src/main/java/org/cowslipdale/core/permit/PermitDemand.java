package org.cowslipdale.core.permit;

import static java.util.Objects.requireNonNull;

/**
 * Asks the control leader for a permit to open one connection to a server.
 *
 * @param incarnation tells the processes of a VM apart
 * @param number grows with every ask of the process
 * @param server the name of the server
 * @param capacity how many connections the VMs may have to the server together
 */
public record PermitDemand(long incarnation, long number, String server, int capacity) {

  /** Asserts that the server is set. */
  public PermitDemand {
    requireNonNull(server, "server");
  }
}
