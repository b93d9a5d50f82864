package org.cowslipdale.core.permit;

import static java.util.Objects.requireNonNull;

/**
 * A demand for a permit to open one connection to a server.
 *
 * @param incarnation identifies the process of the VM
 * @param number the sequence number of the demand within the process
 * @param server the name of the server
 * @param capacity the number of connections that all VMs together may have to the server
 */
public record PermitDemand(long incarnation, long number, String server, int capacity) {

  /** Checks that the server is not {@code null}. */
  public PermitDemand {
    requireNonNull(server, "server");
  }
}
