package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerBackoff;
import org.cowslipdale.core.backend.ServerHealth;
import org.cowslipdale.core.failover.PrimaryTrafficMonitor;
import org.cowslipdale.core.routing.FleetPositions;
import org.cowslipdale.core.routing.ReplicaLagTracker;
import org.cowslipdale.core.routing.SessionRouter;
import org.cowslipdale.daemon.request.RateLimiter;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;

/**
 * What all sessions of a VM share.
 *
 * @param views the current view
 * @param registry the backend servers that announced themselves
 * @param health the failures seen on each server
 * @param router chooses servers
 * @param pools connections to servers
 * @param lagTracker how far lagging replicas are
 * @param positions the positions that primaries stated
 * @param backoff the servers that were busy
 * @param trafficMonitor what is known of primaries
 * @param limiter keeps customers within their rates
 * @param clock the clocks of the VM
 */
public record SessionContext(
    ViewHolder views,
    BackendRegistry registry,
    ServerHealth health,
    SessionRouter router,
    SessionPools pools,
    ReplicaLagTracker lagTracker,
    FleetPositions positions,
    ServerBackoff backoff,
    PrimaryTrafficMonitor trafficMonitor,
    RateLimiter limiter,
    VmClock clock) {

  /** Asserts that every component is set. */
  public SessionContext {
    requireNonNull(views, "views");
    requireNonNull(registry, "registry");
    requireNonNull(health, "health");
    requireNonNull(router, "router");
    requireNonNull(pools, "pools");
    requireNonNull(lagTracker, "progress");
    requireNonNull(positions, "positions");
    requireNonNull(backoff, "backoff");
    requireNonNull(trafficMonitor, "evidence");
    requireNonNull(limiter, "limiter");
    requireNonNull(clock, "clock");
  }
}
