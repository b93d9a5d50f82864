package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import org.cowslipdale.config.settings.Feature;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.BackoffPolicy;
import org.cowslipdale.core.backend.ServerHealth;
import org.cowslipdale.core.failover.PrimaryTrafficMonitor;
import org.cowslipdale.core.placement.ColdStartLimit;
import org.cowslipdale.core.routing.FleetPositions;
import org.cowslipdale.core.routing.ReplicaLagTracker;
import org.cowslipdale.core.routing.SessionRouter;
import org.cowslipdale.daemon.request.RateLimiter;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;

/**
 * The components that all sessions of a VM share.
 *
 * @param views the holder of the current view
 * @param registry the backend servers that announced themselves
 * @param health the failures recorded for each server
 * @param router the router that chooses servers
 * @param pools the pools of connections to servers
 * @param lagTracker the positions that lagging replicas reported
 * @param positions the log positions that primaries reported
 * @param backoff the servers that reported that they are busy
 * @param trafficMonitor the monitor of which primaries answer
 * @param limiter the rate limiter for customers
 * @param clock the VM's clock
 * @param coldStartLimit the limit for servers that have just started
 * @param placementCounters the counters of placement decisions
 * @param features the optional features in use
 */
public record SessionContext(
    ViewHolder views,
    BackendRegistry registry,
    ServerHealth health,
    SessionRouter router,
    ConnectionSource pools,
    ReplicaLagTracker lagTracker,
    FleetPositions positions,
    BackoffPolicy backoff,
    PrimaryTrafficMonitor trafficMonitor,
    RateLimiter limiter,
    VmClock clock,
    ColdStartLimit coldStartLimit,
    PlacementCounters placementCounters,
    Set<Feature> features) {

  /** Copies the features and checks that no component is null. */
  public SessionContext {
    requireNonNull(views, "views");
    requireNonNull(registry, "registry");
    requireNonNull(health, "health");
    requireNonNull(router, "router");
    requireNonNull(pools, "pools");
    requireNonNull(lagTracker, "lagTracker");
    requireNonNull(positions, "positions");
    requireNonNull(backoff, "backoff");
    requireNonNull(trafficMonitor, "trafficMonitor");
    requireNonNull(limiter, "limiter");
    requireNonNull(clock, "clock");
    requireNonNull(coldStartLimit, "coldStartLimit");
    requireNonNull(placementCounters, "placementCounters");
    features = Set.copyOf(features);
  }
}
