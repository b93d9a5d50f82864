package org.cowslipdale.daemon.control;

import org.cowslipdale.core.failover.PrimaryTrafficMonitor;
import org.cowslipdale.daemon.connection.DatabaseConnector;
import org.cowslipdale.daemon.connection.PromotionService;
import org.cowslipdale.daemon.connection.ServerStatusClient;

/** How the control plane learns of backend servers and changes primaries. */
public sealed interface BackendAccess {

  /**
   * It probes and orders the servers itself.
   *
   * @param connector reaches backend servers
   */
  record Direct(DatabaseConnector connector) implements BackendAccess {}

  /**
   * Traffic tells how primaries are, and an outside service carries promotions out.
   *
   * @param statusClient asks servers for their state
   * @param promotionService carries promotions out
   * @param evidence what the traffic of this VM tells of primaries
   */
  record External(
      ServerStatusClient statusClient, PromotionService promotionService, PrimaryTrafficMonitor evidence)
      implements BackendAccess {}
}
