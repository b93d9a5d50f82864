package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.admission.RetryBudget;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerHealth;
import org.cowslipdale.core.routing.Router;
import org.cowslipdale.daemon.connection.BackendPools;
import org.cowslipdale.daemon.connection.DatabaseConnector;

/**
 * The components through which requests reach backend servers.
 *
 * @param registry the servers that have sent announcements
 * @param health the recent failures of each server
 * @param router selects a server for a request
 * @param pools the connection pools of the servers
 * @param connector makes calls that need no pooled connection
 * @param retries limits the retries relative to the requests
 */
public record Backends(
    BackendRegistry registry,
    ServerHealth health,
    Router router,
    BackendPools pools,
    DatabaseConnector connector,
    RetryBudget retries) {

  /** Checks that every component is set. */
  public Backends {
    requireNonNull(registry, "registry");
    requireNonNull(health, "health");
    requireNonNull(router, "router");
    requireNonNull(pools, "pools");
    requireNonNull(connector, "connector");
    requireNonNull(retries, "retries");
  }
}
