package org.cowslipdale.core.failover;

import java.util.List;

/** Reports which of the primaries that a VM uses or probes are reachable from it. */
public interface PrimaryMonitor {

  /**
   * Returns the primaries that the VM cannot reach.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  List<PrimaryTerm> unreachablePrimaries(long now);

  /**
   * Returns the primaries that answered the VM recently.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  List<PrimaryTerm> reachablePrimaries(long now);
}
