package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

/**
 * A VM as registered in the view.
 *
 * @param name the unique VM name
 * @param failureDomain the failure domain in which it runs
 * @param region the region in which it runs
 * @param peerAddress host and port on which it accepts connections from other VMs
 * @param claimsFromMillis the wall-clock time from which it holds request claims, in milliseconds
 *     since the epoch
 * @param claimsUntilMillis the wall-clock time until which it holds request claims, in milliseconds
 *     since the epoch, or {@link Long#MAX_VALUE} for no end
 * @param active whether the VM is a member; the record of a removed VM is retained because request
 *     claims may refer to it
 * @param servesCallers whether callers connect to it, so that it gets a share of the connections to
 *     backend servers
 */
public record VmRecord(
    String name,
    String failureDomain,
    String region,
    String peerAddress,
    long claimsFromMillis,
    long claimsUntilMillis,
    boolean active,
    boolean servesCallers) {

  /** Rejects null components. */
  public VmRecord {
    requireNonNull(name, "name");
    requireNonNull(failureDomain, "failureDomain");
    requireNonNull(region, "region");
    requireNonNull(peerAddress, "peerAddress");
  }

  /**
   * Creates the record of a VM that serves callers.
   *
   * @param name the unique VM name
   * @param failureDomain the failure domain in which it runs
   * @param region the region in which it runs
   * @param peerAddress host and port on which it accepts connections from other VMs
   * @param claimsFromMillis the wall-clock time from which it holds request claims, in milliseconds
   *     since the epoch
   * @param claimsUntilMillis the wall-clock time until which it holds request claims, in
   *     milliseconds since the epoch, or {@link Long#MAX_VALUE} for no end
   * @param active whether the VM is a member
   */
  public VmRecord(
      String name,
      String failureDomain,
      String region,
      String peerAddress,
      long claimsFromMillis,
      long claimsUntilMillis,
      boolean active) {
    this(
        name,
        failureDomain,
        region,
        peerAddress,
        claimsFromMillis,
        claimsUntilMillis,
        active,
        true);
  }
}
