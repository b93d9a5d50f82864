package org.cowslipdale.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.ServerBackoff;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.placement.HomeRegions;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.SessionTarget.RunOn;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.DatabaseState.TermStart;
import org.cowslipdale.core.view.Freshness;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that servers over the limit for their start get nothing. */
class SessionRouterColdServersTests {

  private static final long NOW = 100_000;
  private static final LeaseStatus VALID_LEASE = new LeaseStatus(NOW + 1_000);
  private static final Freshness BOUNDED_AGE = new Freshness.BoundedAge(1_500);

  private final BackendRegistry registry = new BackendRegistry();
  private final PositionHistory history = new PositionHistory();
  private final Map<String, Long> notBefore = new HashMap<>();
  private final DatabaseState state = new DatabaseState(2, "bonds-1", List.of(new TermStart(2, 0)));
  private final SessionRouter router =
      new SessionRouter(
          "vm1",
          "domain-b",
          "north",
          new NoLoad(),
          new ReplicaLagTracker(),
          new ServerBackoff(new Random(1)),
          WriteFencing.BY_SERVERS);

  private static final class NoLoad implements ServerLoad {

    @Override
    public int outstanding(String server) {
      return 0;
    }

    @Override
    public boolean hasIdleConnection(String server, String customer) {
      return false;
    }

    @Override
    public boolean isEjected(String server, Collection<String> group, long now) {
      return false;
    }
  }

  @BeforeEach
  void announceServers() {
    announce("bonds-1", "north", ServerRole.PRIMARY, false, 1);
    announce("bonds-2", "north", ServerRole.REPLICA, false, 1);
    announce("bonds-3", "south", ServerRole.REPLICA, false, 1);
    history.add(new PositionSample(2, new LogPosition(3, 65), NOW - 1_200));
  }

  @Test
  void readsAvoidServersOverTheirLimit() {
    assertThat(serverName(route(demand(false, BOUNDED_AGE))), is("bonds-2"));

    notBefore.put("bonds-2", NOW + 1);
    assertThat(serverName(route(demand(false, BOUNDED_AGE))), is("bonds-1"));

    notBefore.put("bonds-1", NOW + 1);
    assertThat(serverName(route(demand(false, BOUNDED_AGE))), is("bonds-3"));
  }

  /** Guards against a wait for the primary while a replica becomes usable earlier. */
  @Test
  void readsLookForAReplicaAgainSoon() {
    for (String server : registry.group("bonds").servers().keySet()) {
      notBefore.put(server, NOW + 5_000);
    }

    assertThat(
        route(demand(false, BOUNDED_AGE)),
        is(new SessionTarget.Wait(ResultCode.OVERLOADED, NOW + 100)));
  }

  @ParameterizedTest
  @CsvSource({"true", "false"})
  void whatRequiresThePrimaryWaitsForTheNextWindow(boolean write) {
    notBefore.put("bonds-1", NOW + 700);

    assertThat(
        route(demand(write, new Freshness.Latest())),
        is(new SessionTarget.NotBefore(ResultCode.OVERLOADED, NOW + 700)));
  }

  /** Guards against a share that is used up while a statement waits for a connection. */
  @ParameterizedTest
  @CsvSource({"bonds-1, true", "bonds-1, false", "bonds-2, false"})
  void doesNotConfirmServersOverTheirLimit(String name, boolean write) {
    SessionDemand demand = demand(write, write ? new Freshness.Latest() : BOUNDED_AGE);
    BackendServer server = registry.group("bonds").server(name).orElseThrow();
    assertThat(
        router
            .confirm(server, demand, state, VALID_LEASE, history, Evacuations.NONE, NOW)
            .isPresent(),
        is(true));

    notBefore.put(name, NOW + 1);
    assertThat(
        router
            .confirm(server, demand, state, VALID_LEASE, history, Evacuations.NONE, NOW)
            .isPresent(),
        is(false));
  }

  private SessionTarget route(SessionDemand demand) {
    return router.route(
        demand, registry.group("bonds"), state, VALID_LEASE, history, Evacuations.NONE, NOW);
  }

  private SessionDemand demand(boolean write, Freshness freshness) {
    return new SessionDemand(
        "acme",
        write,
        freshness,
        LogPosition.ZERO,
        Set.of(),
        HomeRegions.EVERYWHERE,
        (server, now) -> notBefore.getOrDefault(server.name(), Long.MIN_VALUE),
        0,
        false);
  }

  private static String serverName(SessionTarget target) {
    return ((RunOn) target).server().name();
  }

  private void announce(
      String server, String region, ServerRole role, boolean leaving, long sequence) {
    registry.addAnnouncement(
        new Announcement(
            "bonds",
            server,
            server + ":1",
            "domain-b",
            region,
            role,
            LogPosition.ZERO,
            0,
            5,
            30,
            leaving,
            1,
            sequence),
        0,
        NOW);
  }
}
