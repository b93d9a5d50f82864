package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.admission.RetryBudget;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerHealth;
import org.cowslipdale.core.routing.Router;
import org.cowslipdale.daemon.connection.BackendPools;
import org.cowslipdale.daemon.connection.DatabaseConnector;

/**
 * What requests use to reach backend servers.
 *
 * @param registry the servers that announced themselves
 * @param health the failures seen on each server
 * @param router chooses a server
 * @param pools the connections
 * @param connector calls that need no pooled connection
 * @param retries the budget for retries
 */
public record Backends(
    BackendRegistry registry,
    ServerHealth health,
    Router router,
    BackendPools pools,
    DatabaseConnector connector,
    RetryBudget retries) {

  /** Asserts that every component is set. */
  public Backends {
    requireNonNull(registry, "registry");
    requireNonNull(health, "health");
    requireNonNull(router, "router");
    requireNonNull(pools, "pools");
    requireNonNull(connector, "connector");
    requireNonNull(retries, "retries");
  }
}
