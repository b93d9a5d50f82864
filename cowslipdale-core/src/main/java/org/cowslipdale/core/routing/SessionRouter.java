package org.cowslipdale.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cowslipdale.core.backend.BackendGroup;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.ServerBackoff;
import org.cowslipdale.core.placement.Placement;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.Freshness;

/**
 * Chooses the server for statements of sessions.
 *
 * <p>A server of this kind checks a position when it is asked to, and refuses writes once it is no
 * longer primary. Reads of the latest data need more: the primary of the view under a valid lease.
 * Reads of a stated age may run on any server whose log contains a position that the primary stated
 * recently enough.
 */
public final class SessionRouter {

  /**
   * Time that a statement may need to reach its server, in milliseconds: the least retransmission
   * timeout of TCP on Linux (200 ms) and a one-way delay between regions.
   */
  private static final long TRANSIT_MILLIS = 250;

  /**
   * How long a primary that leaves still gets work while its successor is promoted. Shorter than
   * the time for which servers serve on after they were told that they may go.
   */
  private static final long LEAVING_PRIMARY_GRACE_MILLIS = 5_500;

  /** Requests that a nearer server may have more than another before it is passed over. */
  private static final int REQUESTS_PER_LOAD_STEP = 2;

  private final String vm;
  private final String failureDomain;
  private final String region;
  private final ServerLoad load;
  private final ReplicaLagTracker replicaLag;
  private final ServerBackoff backoff;

  /**
   * Creates a router.
   *
   * @param vm the name of this VM
   * @param failureDomain the failure domain of this VM
   * @param region the region of this VM
   * @param load the load and health of servers as seen by this VM
   * @param progress how far lagging replicas are
   * @param backoff the servers that were busy
   */
  public SessionRouter(
      String vm,
      String failureDomain,
      String region,
      ServerLoad load,
      ReplicaLagTracker progress,
      ServerBackoff backoff) {
    this.vm = requireNonNull(vm, "vm");
    this.failureDomain = requireNonNull(failureDomain, "failureDomain");
    this.region = requireNonNull(region, "region");
    this.load = requireNonNull(load, "load");
    this.replicaLag = requireNonNull(progress, "progress");
    this.backoff = requireNonNull(backoff, "backoff");
  }

  /**
   * Decides where a statement runs at the present time.
   *
   * @param demand what it needs
   * @param group the known servers of the database
   * @param state the term and primary of the database in the VM's view
   * @param lease until when the VM may rely on its view
   * @param history the positions that the primary stated
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public SessionTarget route(
      SessionDemand demand,
      BackendGroup group,
      DatabaseState state,
      LeaseStatus lease,
      PositionHistory history,
      long now) {
    if (demand.write()) {
      return routeToPrimary(group, state, demand, false, now);
    }
    Optional<SessionTarget> target =
        findSample(demand.freshness(), history, now)
            .flatMap(sample -> routeToAnyServer(demand, group, state, lease, history, sample, now));
    if (target.isPresent()) {
      return target.get();
    }
    return coversTransit(lease, now)
        ? routeToPrimary(group, state, demand, true, now)
        : new SessionTarget.Wait(ResultCode.NO_LEASE);
  }

  /**
   * Checks a choice again right before the statement is sent, because a wait for a connection may
   * have outlasted the position or the lease on which it relied.
   *
   * @param server the chosen server
   * @param demand what the statement needs
   * @param state the term and primary of the database in the VM's view
   * @param lease until when the VM may rely on its view
   * @param history the positions that the primary stated
   * @param now the present time on the VM's monotonic clock, in milliseconds
   * @return how the statement may be sent to the server now, or empty if it may not
   */
  public Optional<SessionTarget.RunOn> confirm(
      BackendServer server,
      SessionDemand demand,
      DatabaseState state,
      LeaseStatus lease,
      PositionHistory history,
      long now) {
    boolean leads = server.name().equals(state.primary());
    if (server.leavingForMillis(now) >= LEAVING_PRIMARY_GRACE_MILLIS) {
      return Optional.empty();
    }
    if (demand.write()) {
      return leads
          ? Optional.of(new SessionTarget.RunOn(server, state.term(), true, null, false, now))
          : Optional.empty();
    }
    if (leads && coversTransit(lease, now)) {
      return Optional.of(new SessionTarget.RunOn(server, state.term(), true, null, true, now));
    }
    return findSample(demand.freshness(), history, now)
        .map(
            sample ->
                new SessionTarget.RunOn(
                    server,
                    state.term(),
                    leads,
                    requiredPosition(demand, sample),
                    false,
                    sample.sentMillis()));
  }

  private static boolean coversTransit(LeaseStatus lease, long now) {
    return lease.isValid(now + TRANSIT_MILLIS);
  }

  /** Returns the sample that a read must see, or empty if it needs the primary itself. */
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
      boolean leaseNeeded,
      long now) {
    String primary = state.primary();
    Optional<BackendServer> server = primary == null ? Optional.empty() : group.server(primary);
    boolean usable =
        server.isPresent()
            && !demand.triedServers().contains(server.get().name())
            && server.get().leavingForMillis(now) < LEAVING_PRIMARY_GRACE_MILLIS;
    if (!usable) {
      return new SessionTarget.Wait(ResultCode.NO_PRIMARY);
    }
    long busyUntil = backoff.endMillis(server.get().name());
    if (now < busyUntil) {
      return new SessionTarget.Wait(ResultCode.OVERLOADED, busyUntil);
    }
    return new SessionTarget.RunOn(server.get(), state.term(), true, null, leaseNeeded, now);
  }

  private Optional<SessionTarget> routeToAnyServer(
      SessionDemand demand,
      BackendGroup group,
      DatabaseState state,
      LeaseStatus lease,
      PositionHistory history,
      PositionSample sample,
      long now) {
    List<BackendServer> candidates = new ArrayList<>();
    for (BackendServer server : group.servers().values()) {
      boolean suits =
          !server.announcement().leaving()
              && !demand.triedServers().contains(server.name())
              && now >= backoff.endMillis(server.name())
              && !replicaLag.isBehind(server.name(), requiredPosition(demand, sample), now)
              && !load.isEjected(server.name(), group.servers().keySet(), now);
      if (suits) {
        candidates.add(server);
      }
    }
    return candidates.stream()
        .min(preference(state, now))
        .flatMap(server -> confirm(server, demand, state, lease, history, now));
  }

  /** A position of an earlier term that survived is part of any position of a later one. */
  private static LogPosition requiredPosition(SessionDemand demand, PositionSample sample) {
    return demand.sessionPosition().max(sample.position());
  }

  /**
   * Avoids servers that were busy, stays in the region, spares the primary, and prefers the failure
   * domain at equal load. Between equals every VM has a server of its own, so that its connections
   * stay in use while the VMs together use all servers.
   */
  private Comparator<BackendServer> preference(DatabaseState state, long now) {
    return Comparator.comparing((BackendServer server) -> backoff.isOverloaded(server.name(), now))
        .thenComparing(server -> !isInRegion(server))
        .thenComparingInt(server -> loadSteps(server, state))
        .thenComparing(server -> !server.announcement().failureDomain().equals(failureDomain))
        .thenComparingLong(server -> Placement.score(vm, server.name()));
  }

  private boolean isInRegion(BackendServer server) {
    return server.announcement().region().equals(region);
  }

  /** The load in steps; the primary counts as busier, for it alone takes writes. */
  private int loadSteps(BackendServer server, DatabaseState state) {
    int steps = load.outstanding(server.name()) / REQUESTS_PER_LOAD_STEP;
    return server.name().equals(state.primary()) ? steps + 1 : steps;
  }
}
