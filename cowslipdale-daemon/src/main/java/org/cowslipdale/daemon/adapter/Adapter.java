package org.cowslipdale.daemon.adapter;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Set;
import org.cowslipdale.config.settings.DaemonSettings;
import org.cowslipdale.config.settings.Feature;
import org.cowslipdale.daemon.client.ClientGuard;
import org.cowslipdale.daemon.connection.PromotionService;
import org.cowslipdale.daemon.connection.ServerStatusClient;
import org.cowslipdale.daemon.session.SessionConnector;

/** Translates between the daemon and the protocols of one platform. */
public interface Adapter {

  /**
   * Returns the connector that opens connections to backend servers.
   *
   * @param vertx the Vert.x instance whose event loops do the I/O
   * @param settings the settings of the daemon
   * @param guard accounts for the replies that are received
   */
  SessionConnector sessionConnector(Vertx vertx, DaemonSettings settings, ClientGuard guard);

  /**
   * Returns the client that queries the status of backend servers.
   *
   * @param vertx the Vert.x instance whose event loops do the I/O
   * @param settings the settings of the daemon
   * @param guard accounts for the replies that are received
   */
  ServerStatusClient statusClient(Vertx vertx, DaemonSettings settings, ClientGuard guard);

  /**
   * Returns the service that executes promotions.
   *
   * @param vertx the Vert.x instance whose event loops do the I/O
   * @param settings the settings of the daemon
   */
  PromotionService promotionService(Vertx vertx, DaemonSettings settings);

  /**
   * Returns the endpoints for callers, backend servers, operators and the load balancer.
   *
   * @param vertx the Vert.x instance whose event loops do the I/O
   * @param settings the settings of the daemon
   * @param services the services of the daemon that the endpoints use
   */
  List<Endpoint> endpoints(Vertx vertx, DaemonSettings settings, DaemonServices services);

  /**
   * Returns the optional features that the settings ask for. An adapter may translate names of its
   * platform.
   *
   * @param settings the settings of the daemon
   */
  default Set<Feature> features(DaemonSettings settings) {
    return Feature.named(settings.featureNames());
  }
}
