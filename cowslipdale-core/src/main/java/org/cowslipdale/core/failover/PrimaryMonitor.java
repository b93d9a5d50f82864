package org.cowslipdale.core.failover;

import java.util.List;

/** What a VM reports of the primaries that it uses or probes. */
public interface PrimaryMonitor {

  /**
   * Returns the primaries that the VM cannot reach.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  List<PrimaryTerm> unreachablePrimaries(long now);

  /**
   * Returns the primaries that answered the VM a moment ago.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  List<PrimaryTerm> reachablePrimaries(long now);
}
