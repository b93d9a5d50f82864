package org.cowslipdale.daemon.adapter;

import io.vertx.core.Vertx;
import java.util.List;
import org.cowslipdale.config.settings.DaemonSettings;
import org.cowslipdale.daemon.connection.PromotionService;
import org.cowslipdale.daemon.connection.ServerStatusClient;
import org.cowslipdale.daemon.session.SessionConnector;

/** Translates between the daemon and one platform. */
public interface Adapter {

  /**
   * Returns what opens connections to backend servers.
   *
   * @param vertx the Vert.x instance whose event loops do the I/O
   * @param settings the settings of the daemon
   */
  SessionConnector sessionConnector(Vertx vertx, DaemonSettings settings);

  /**
   * Returns what asks backend servers for their state.
   *
   * @param vertx the Vert.x instance whose event loops do the I/O
   * @param settings the settings of the daemon
   */
  ServerStatusClient statusClient(Vertx vertx, DaemonSettings settings);

  /**
   * Returns what carries promotions out.
   *
   * @param vertx the Vert.x instance whose event loops do the I/O
   * @param settings the settings of the daemon
   */
  PromotionService promotionService(Vertx vertx, DaemonSettings settings);

  /**
   * Returns the endpoints for callers, backend servers, operators and the balancer.
   *
   * @param vertx the Vert.x instance whose event loops do the I/O
   * @param settings the settings of the daemon
   * @param services what the endpoints use
   */
  List<Endpoint> endpoints(Vertx vertx, DaemonSettings settings, DaemonServices services);
}
