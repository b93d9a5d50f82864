package org.cowslipdale.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cowslipdale.core.backend.BackendGroup;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.BackoffPolicy;
import org.cowslipdale.core.placement.HomeRegions;
import org.cowslipdale.core.placement.Placement;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.Freshness;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the backend server for the statements of sessions.
 *
 * <p>The servers of sessions check a required log position on request and reject writes when they
 * are no longer primary. Writes therefore go to the primary of the view without a lease. Reads of
 * the latest data require the primary of the view and a valid lease. Bounded-age reads may run on
 * any server whose log contains a position that the primary reported recently enough.
 */
public final class SessionRouter {

  /**
   * The time within which a statement is assumed to reach its server: the minimum TCP
   * retransmission timeout on Linux (200 ms) plus a one-way delay between regions.
   */
  static final long TRANSIT_MILLIS = 250;

  /**
   * How long a leaving primary still gets statements while its successor is promoted. Shorter than
   * the time for which servers continue to serve after they were allowed to stop.
   */
  private static final long LEAVING_PRIMARY_GRACE_MILLIS = 5_500;

  /**
   * The outstanding requests that count as one step of load. Differences below a step do not
   * outweigh a server in the same failure domain.
   */
  private static final int REQUESTS_PER_LOAD_STEP = 2;

  /**
   * How long a read that replicas may serve waits for a primary over its limit before it is routed
   * again, since a replica may be usable sooner.
   */
  private static final long REPLICA_CHECK_MILLIS = 100;

  private final String vm;
  private final String failureDomain;
  private final String region;
  private final ServerLoad load;
  private final ReplicaLagTracker replicaLag;
  private final BackoffPolicy backoff;
  private final WriteFencing writeFencing;
  private final @Nullable CapacityPlacement capacity;

  /**
   * Creates a router.
   *
   * @param vm the name of this VM
   * @param failureDomain the failure domain of this VM
   * @param region the region of this VM
   * @param load the load and health of servers as seen by this VM
   * @param replicaLag the replicas that rejected reads because they lag
   * @param backoff the servers that reported that they are busy
   * @param writeFencing how writes to a replaced primary are prevented
   */
  public SessionRouter(
      String vm,
      String failureDomain,
      String region,
      ServerLoad load,
      ReplicaLagTracker replicaLag,
      BackoffPolicy backoff,
      WriteFencing writeFencing) {
    this(vm, failureDomain, region, load, replicaLag, backoff, writeFencing, null);
  }

  /**
   * Creates a router that may place reads by the measured capacity of servers.
   *
   * @param vm the name of this VM
   * @param failureDomain the failure domain of this VM
   * @param region the region of this VM
   * @param load the load and health of servers as seen by this VM
   * @param replicaLag the replicas that rejected reads because they lag
   * @param backoff the servers that reported that they are busy
   * @param writeFencing how writes to a replaced primary are prevented
   * @param capacity chooses among eligible servers, or null to use the fixed preference
   */
  public SessionRouter(
      String vm,
      String failureDomain,
      String region,
      ServerLoad load,
      ReplicaLagTracker replicaLag,
      BackoffPolicy backoff,
      WriteFencing writeFencing,
      @Nullable CapacityPlacement capacity) {
    this.vm = requireNonNull(vm, "vm");
    this.failureDomain = requireNonNull(failureDomain, "failureDomain");
    this.region = requireNonNull(region, "region");
    this.load = requireNonNull(load, "load");
    this.replicaLag = requireNonNull(replicaLag, "replicaLag");
    this.backoff = requireNonNull(backoff, "backoff");
    this.writeFencing = requireNonNull(writeFencing, "writeFencing");
    this.capacity = capacity;
  }

  /** Returns the placement by measured capacity, or empty if it is not in use. */
  public Optional<CapacityPlacement> capacity() {
    return Optional.ofNullable(capacity);
  }

  /**
   * Chooses the server for a statement.
   *
   * @param demand the requirements of the statement
   * @param group the known servers of the database
   * @param state the terms and the primary of the database in the VM's view
   * @param lease the VM's lease on its view
   * @param history the positions that the primary reported
   * @param evacuations the evacuated failure domains
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public SessionTarget route(
      SessionDemand demand,
      BackendGroup group,
      DatabaseState state,
      LeaseStatus lease,
      PositionHistory history,
      Evacuations evacuations,
      long now) {
    if (hasNoServerInHomeRegions(demand, group, state)) {
      return new SessionTarget.NotBefore(ResultCode.NO_SERVER_IN_HOME_REGION, Long.MAX_VALUE);
    }
    if (demand.write()) {
      return mayWrite(demand, lease, now)
          ? routeToPrimary(group, state, demand, requiresLeaseToWrite(demand), evacuations, now)
          : new SessionTarget.Wait(ResultCode.NO_LEASE);
    }
    Optional<PositionSample> sample = findSample(demand.freshness(), history, now);
    Optional<SessionTarget> target =
        sample.flatMap(
            known ->
                routeToAnyServer(demand, group, state, lease, history, known, evacuations, now));
    if (target.isPresent()) {
      return target.get();
    }
    if (!coversTransit(lease, now)) {
      return new SessionTarget.Wait(ResultCode.NO_LEASE);
    }
    SessionTarget primary = routeToPrimary(group, state, demand, true, evacuations, now);
    boolean otherMayServeLater = sample.isPresent() && !evacuations.coverAllServers(group);
    return primary instanceof SessionTarget.Refuse && otherMayServeLater
        ? new SessionTarget.Wait(ResultCode.NO_PRIMARY)
        : primary;
  }

  /**
   * Checks a choice again immediately before the statement is sent. While the statement waited for
   * a connection, the position may have become too old or the lease may have ended.
   *
   * @param server the chosen server
   * @param demand the requirements of the statement
   * @param state the terms and the primary of the database in the VM's view
   * @param lease the VM's lease on its view
   * @param history the positions that the primary reported
   * @param evacuations the evacuated failure domains
   * @param now the current time on the VM's monotonic clock, in milliseconds
   * @return how the statement may be sent to the server now, or empty if it may not
   */
  public Optional<SessionTarget.RunOn> confirm(
      BackendServer server,
      SessionDemand demand,
      DatabaseState state,
      LeaseStatus lease,
      PositionHistory history,
      Evacuations evacuations,
      long now) {
    boolean isPrimary = server.name().equals(state.primary());
    if (server.leavingForMillis(now) >= LEAVING_PRIMARY_GRACE_MILLIS
        || !evacuations.permits(server, isPrimary, now)
        || !isInHomeRegion(server, demand.homeRegions())
        || now < demand.sendLimit().notBeforeMillis(server, now)) {
      return Optional.empty();
    }
    if (demand.write()) {
      return isPrimary && mayWrite(demand, lease, now)
          ? Optional.of(
              new SessionTarget.RunOn(
                  server, state.term(), true, null, requiresLeaseToWrite(demand), now))
          : Optional.empty();
    }
    if (isPrimary && coversTransit(lease, now)) {
      return Optional.of(new SessionTarget.RunOn(server, state.term(), true, null, true, now));
    }
    return findSample(demand.freshness(), history, now)
        .map(
            sample ->
                new SessionTarget.RunOn(
                    server,
                    state.term(),
                    isPrimary,
                    requiredPosition(demand, sample),
                    false,
                    sample.sentMillis()));
  }

  private boolean mayWrite(SessionDemand demand, LeaseStatus lease, long now) {
    return !requiresLeaseToWrite(demand) || coversTransit(lease, now);
  }

  /**
   * Returns whether writes require a lease. The next primary is chosen by positions that are read
   * once no VM with a lease uses the old one, so where no acknowledged commit may be lost, none may
   * be acknowledged without a lease.
   */
  private boolean requiresLeaseToWrite(SessionDemand demand) {
    return writeFencing == WriteFencing.BY_LEASE || demand.synchronouslyReplicated();
  }

  private static boolean coversTransit(LeaseStatus lease, long now) {
    return lease.isValid(now + TRANSIT_MILLIS);
  }

  /**
   * Returns the sample whose position a read requires, or empty if only the primary can serve the
   * read.
   */
  private static Optional<PositionSample> findSample(
      Freshness freshness, PositionHistory history, long now) {
    return switch (freshness) {
      case Freshness.BoundedAge bounded ->
          history.oldestSince(now - bounded.maxAgeMillis() + TRANSIT_MILLIS);
      case Freshness.Latest latest -> Optional.empty();
      case Freshness.Session session -> history.oldestSince(Long.MIN_VALUE);
      case Freshness.AnyAge any -> history.oldestSince(Long.MIN_VALUE);
    };
  }

  private SessionTarget routeToPrimary(
      BackendGroup group,
      DatabaseState state,
      SessionDemand demand,
      boolean leaseRequired,
      Evacuations evacuations,
      long now) {
    String primary = state.primary();
    Optional<BackendServer> server = primary == null ? Optional.empty() : group.server(primary);
    if (server.isPresent() && !evacuations.permits(server.get(), true, now)) {
      return new SessionTarget.Refuse(ResultCode.SERVER_EVACUATED);
    }
    if (server.isPresent() && !isInHomeRegion(server.get(), demand.homeRegions())) {
      return new SessionTarget.Wait(ResultCode.NO_SERVER_IN_HOME_REGION);
    }
    boolean usable =
        server.isPresent()
            && !demand.triedServers().contains(server.get().name())
            && server.get().leavingForMillis(now) < LEAVING_PRIMARY_GRACE_MILLIS;
    if (!usable) {
      return new SessionTarget.Wait(ResultCode.NO_PRIMARY);
    }
    long busyUntilMillis = backoff.endMillis(server.get().name(), demand.priority());
    if (now < busyUntilMillis) {
      return new SessionTarget.Wait(ResultCode.OVERLOADED, busyUntilMillis);
    }
    long notBeforeMillis = demand.sendLimit().notBeforeMillis(server.get(), now);
    if (now < notBeforeMillis) {
      return requiresPrimary(demand)
          ? new SessionTarget.NotBefore(ResultCode.OVERLOADED, notBeforeMillis)
          : new SessionTarget.Wait(
              ResultCode.OVERLOADED, Math.min(notBeforeMillis, now + REPLICA_CHECK_MILLIS));
    }
    return new SessionTarget.RunOn(server.get(), state.term(), true, null, leaseRequired, now);
  }

  private static boolean requiresPrimary(SessionDemand demand) {
    return demand.write() || demand.freshness() instanceof Freshness.Latest;
  }

  /**
   * Returns whether waiting cannot help because of the home regions: the primary is outside of them
   * and the statement requires it, or no other known server inside them stays.
   */
  private static boolean hasNoServerInHomeRegions(
      SessionDemand demand, BackendGroup group, DatabaseState state) {
    HomeRegions homeRegions = demand.homeRegions();
    if (!homeRegions.restricted()) {
      return false;
    }
    if (homeRegions.regions().isEmpty()) {
      return true;
    }
    Optional<BackendServer> primary = Optional.ofNullable(state.primary()).flatMap(group::server);
    if (primary.isEmpty() || isInHomeRegion(primary.get(), homeRegions)) {
      return false;
    }
    return requiresPrimary(demand)
        || group.servers().values().stream()
            .noneMatch(
                server -> !server.announcement().leaving() && isInHomeRegion(server, homeRegions));
  }

  private static boolean isInHomeRegion(BackendServer server, HomeRegions homeRegions) {
    return homeRegions.allows(server.announcement().region());
  }

  private Optional<SessionTarget> routeToAnyServer(
      SessionDemand demand,
      BackendGroup group,
      DatabaseState state,
      LeaseStatus lease,
      PositionHistory history,
      PositionSample sample,
      Evacuations evacuations,
      long now) {
    List<BackendServer> candidates = new ArrayList<>();
    for (BackendServer server : group.servers().values()) {
      boolean eligible =
          !server.announcement().leaving()
              && evacuations.permits(server, false, now)
              && isInHomeRegion(server, demand.homeRegions())
              && !demand.triedServers().contains(server.name())
              && now >= demand.sendLimit().notBeforeMillis(server, now)
              && now >= backoff.endMillis(server.name(), demand.priority())
              && !replicaLag.isBehind(server.name(), requiredPosition(demand, sample), now)
              && !load.isEjected(server.name(), group.servers().keySet(), now);
      if (eligible) {
        candidates.add(server);
      }
    }
    Optional<BackendServer> chosen =
        capacity == null
            ? candidates.stream().min(preference(demand.customer(), state, now))
            : capacity.choose(candidates, demand.customer(), now);
    return chosen.flatMap(
        server -> confirm(server, demand, state, lease, history, evacuations, now));
  }

  /**
   * Returns the later of the session's position and the sample's. Any position of a later term
   * includes the surviving positions of earlier terms.
   */
  private static LogPosition requiredPosition(SessionDemand demand, PositionSample sample) {
    return demand.sessionPosition().max(sample.position());
  }

  /**
   * Prefers servers that were not busy recently, then this region, then the lowest load, where the
   * primary counts as busier, then an idle connection of the customer, since opening one occupies
   * the server, then this failure domain. Among servers that are equal in all of these, each VM has
   * a fixed preference of its own: a VM reuses its connections, and all VMs together use all
   * servers.
   */
  private Comparator<BackendServer> preference(String customer, DatabaseState state, long now) {
    return Comparator.comparing((BackendServer server) -> backoff.isOverloaded(server.name(), now))
        .thenComparing(server -> !isInRegion(server))
        .thenComparingInt(server -> loadSteps(server, state))
        .thenComparing(server -> !load.hasIdleConnection(server.name(), customer))
        .thenComparing(server -> !server.announcement().failureDomain().equals(failureDomain))
        .thenComparingLong(server -> Placement.score(vm, server.name()));
  }

  private boolean isInRegion(BackendServer server) {
    return server.announcement().region().equals(region);
  }

  /** Returns the load in steps, one more for the primary because only it handles writes. */
  private int loadSteps(BackendServer server, DatabaseState state) {
    int steps = load.outstanding(server.name()) / REQUESTS_PER_LOAD_STEP;
    return server.name().equals(state.primary()) ? steps + 1 : steps;
  }
}
