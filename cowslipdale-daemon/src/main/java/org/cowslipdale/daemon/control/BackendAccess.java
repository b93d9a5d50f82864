package org.cowslipdale.daemon.control;

import org.cowslipdale.core.failover.PrimaryTrafficMonitor;
import org.cowslipdale.daemon.connection.DatabaseConnector;
import org.cowslipdale.daemon.connection.PromotionService;
import org.cowslipdale.daemon.connection.ServerStatusClient;

/** The way in which the control plane observes backend servers and promotes primaries. */
public sealed interface BackendAccess {

  /**
   * The control plane probes primaries and promotes servers itself.
   *
   * @param connector connects to backend servers
   */
  record Direct(DatabaseConnector connector) implements BackendAccess {}

  /**
   * Failures of primaries are detected in the traffic of the VMs, and an external service performs
   * promotions.
   *
   * @param statusClient queries the status of servers
   * @param promotionService performs promotions
   * @param trafficMonitor whether primaries answer, as observed in the traffic of this VM
   */
  record External(
      ServerStatusClient statusClient,
      PromotionService promotionService,
      PrimaryTrafficMonitor trafficMonitor)
      implements BackendAccess {}
}
