package org.cowslipdale.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipdale.core.backend.BackendGroup;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.RouteDecision.Conditions;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.Freshness;

/**
 * Routes writes to the primary of the view and reads to a server whose data is fresh enough.
 *
 * <p>Reads are routed only to servers that hold the history of the latest completed term. A VM that
 * knows of a promotion therefore sends no reads to the replaced primary or to replicas that still
 * follow it. The positions and ages used here may be out of date, so the server checks the {@link
 * Conditions} again when it runs the request.
 */
public final class DefaultRouter implements Router {

  /** How long a slightly lagging replica may wait until it reaches the session's position. */
  private static final long CATCH_UP_MILLIS = 40;

  private static final long ANY_AGE = Long.MAX_VALUE;

  private final String failureDomain;
  private final String region;
  private final RoutingPolicy policy;
  private final ServerLoad load;
  private final AtomicInteger nextIndex = new AtomicInteger();

  /**
   * Creates a router.
   *
   * @param failureDomain the failure domain of this VM
   * @param region the region of this VM
   * @param policy how reads are distributed over servers
   * @param load the load and health of servers as seen by this VM
   */
  public DefaultRouter(String failureDomain, String region, RoutingPolicy policy, ServerLoad load) {
    this.failureDomain = requireNonNull(failureDomain, "failureDomain");
    this.region = requireNonNull(region, "region");
    this.policy = requireNonNull(policy, "policy");
    this.load = requireNonNull(load, "load");
  }

  @Override
  public RouteDecision route(
      RouteRequest request,
      BackendGroup group,
      DatabaseState state,
      LeaseStatus lease,
      Evacuations evacuations,
      long now) {
    LogPosition position = request.sessionPosition();
    if (position.term() > state.completedTerm()) {
      return new RouteDecision.Wait(ResultCode.NO_FRESH_SERVER);
    }
    if (!state.contains(position)) {
      return new RouteDecision.Refuse(ResultCode.SESSION_POSITION_LOST);
    }
    if (needsPrimary(request)) {
      return routeToPrimary(group, state, lease, evacuations, now);
    }
    return routeRead(request, group, state, lease, evacuations, now);
  }

  private static boolean needsPrimary(RouteRequest request) {
    return !request.workClass().readOnly()
        || request.workClass().freshness() instanceof Freshness.Latest;
  }

  private static RouteDecision routeToPrimary(
      BackendGroup group,
      DatabaseState state,
      LeaseStatus lease,
      Evacuations evacuations,
      long now) {
    if (!lease.isValid(now)) {
      return new RouteDecision.Wait(ResultCode.NO_LEASE);
    }
    Optional<BackendServer> primary = currentPrimary(group, state);
    if (primary.isEmpty()) {
      return new RouteDecision.Wait(ResultCode.NO_PRIMARY);
    }
    if (!evacuations.permits(primary.get(), true, now)) {
      return new RouteDecision.Refuse(ResultCode.SERVER_EVACUATED);
    }
    return new RouteDecision.RunOn(
        primary.get(), state.term(), new Conditions(true, 0, 0, ANY_AGE));
  }

  private RouteDecision routeRead(
      RouteRequest request,
      BackendGroup group,
      DatabaseState state,
      LeaseStatus lease,
      Evacuations evacuations,
      long now) {
    long maxAgeMillis = lease.permittedAgeMillis(request.workClass().freshness(), now);
    if (maxAgeMillis < 0) {
      return new RouteDecision.Wait(ResultCode.NO_FRESH_SERVER);
    }
    List<BackendServer> candidates =
        findCandidates(request, group, state, evacuations, maxAgeMillis, now);
    if (candidates.isEmpty()) {
      boolean refused =
          evacuations.coverAllServers(group)
              && currentPrimary(group, state)
                  .filter(primary -> evacuations.permits(primary, true, now))
                  .isEmpty();
      return refused
          ? new RouteDecision.Refuse(ResultCode.SERVER_EVACUATED)
          : new RouteDecision.Wait(ResultCode.NO_FRESH_SERVER);
    }
    BackendServer chosen = choose(candidates, group, state);
    long minOffset = request.sessionPosition().offset();
    long waitMillis = chosen.observedOffset() >= minOffset ? 0 : CATCH_UP_MILLIS;
    return new RouteDecision.RunOn(
        chosen, state.completedTerm(), new Conditions(false, minOffset, waitMillis, maxAgeMillis));
  }

  private List<BackendServer> findCandidates(
      RouteRequest request,
      BackendGroup group,
      DatabaseState state,
      Evacuations evacuations,
      long maxAgeMillis,
      long now) {
    List<BackendServer> candidates = new ArrayList<>();
    boolean noOtherServer = evacuations.coverAllServers(group);
    for (BackendServer server : group.servers().values()) {
      boolean eligible =
          !server.announcement().leaving()
              && evacuations.permits(
                  server, noOtherServer && server.name().equals(state.primary()), now)
              && !request.triedServers().contains(server.name())
              && server.position().term() == state.completedTerm()
              && isFreshEnough(server, request.sessionPosition(), maxAgeMillis, now);
      if (eligible) {
        candidates.add(server);
      }
    }
    List<BackendServer> healthy = new ArrayList<>(candidates);
    healthy.removeIf(server -> load.isEjected(server.name(), group.servers().keySet(), now));
    return healthy.isEmpty() ? candidates : healthy;
  }

  private static boolean isFreshEnough(
      BackendServer server, LogPosition required, long maxAgeMillis, long now) {
    long ageMillis = server.ageMillis(now);
    if (ageMillis > maxAgeMillis) {
      return false;
    }
    boolean reached = server.observedOffset() >= required.offset();
    boolean canCatchUp = server.announcement().ageMillis() <= CATCH_UP_MILLIS;
    return reached || canCatchUp;
  }

  private BackendServer choose(
      List<BackendServer> candidates, BackendGroup group, DatabaseState state) {
    return switch (policy) {
      case RoutingPolicy.NearestReplica nearest ->
          candidates.stream().min(preference(state)).orElseThrow();
      case RoutingPolicy.RoundRobin robin ->
          candidates.get(Math.floorMod(nextIndex.getAndIncrement(), candidates.size()));
      case RoutingPolicy.PrimaryOnly only ->
          currentPrimary(group, state)
              .filter(candidates::contains)
              .orElseGet(() -> candidates.getFirst());
    };
  }

  /**
   * Prefers servers in this region, then replicas, then this failure domain, then the lowest load.
   */
  private Comparator<BackendServer> preference(DatabaseState state) {
    return Comparator.comparing((BackendServer server) -> !isInRegion(server))
        .thenComparing(server -> server.name().equals(state.primary()))
        .thenComparing(server -> !isInFailureDomain(server))
        .thenComparingInt(this::relativeLoad)
        .thenComparing(BackendServer::name);
  }

  private boolean isInRegion(BackendServer server) {
    return server.announcement().region().equals(region);
  }

  private boolean isInFailureDomain(BackendServer server) {
    return server.announcement().failureDomain().equals(failureDomain);
  }

  private int relativeLoad(BackendServer server) {
    return load.outstanding(server.name()) * 100 / server.announcement().slots();
  }

  private static Optional<BackendServer> currentPrimary(BackendGroup group, DatabaseState state) {
    String primary = state.primary();
    return primary == null ? Optional.empty() : group.server(primary);
  }
}
