package org.cowslipdale.core.failover;

import java.util.Set;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.view.View;

/** Decides whether the name in an operator's order is that of a failure domain. */
public final class KnownFailureDomains {

  private KnownFailureDomains() {}

  /**
   * Returns whether a failure domain is known: from the settings, as that of a VM or a server, or
   * because it is evacuated, so that a resent order is acknowledged again after its servers
   * stopped.
   *
   * @param failureDomain the name to look up
   * @param configured the failure domains of the settings
   * @param view the current view
   * @param registry the known backend servers
   */
  public static boolean contains(
      String failureDomain, Set<String> configured, View view, BackendRegistry registry) {
    return configured.contains(failureDomain)
        || view.evacuatedDomains().contains(failureDomain)
        || view.activeVms().stream().anyMatch(vm -> vm.failureDomain().equals(failureDomain))
        || registry.databases().stream()
            .flatMap(database -> registry.group(database).servers().values().stream())
            .anyMatch(server -> server.announcement().failureDomain().equals(failureDomain));
  }
}
