package org.cowslipdale.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
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

/**
 * Tests that no statement is routed to a server outside its home regions: a primary in the region
 * north, replicas in north and south.
 */
class SessionRouterHomeRegionsTests {

  private static final long NOW = 100_000;
  private static final LeaseStatus VALID_LEASE = new LeaseStatus(NOW + 1_000);
  private static final LeaseStatus EXPIRED_LEASE = new LeaseStatus(NOW - 1);
  private static final Freshness BOUNDED_AGE = new Freshness.BoundedAge(1_500);
  private static final SessionTarget REFUSED_AT_ONCE =
      new SessionTarget.NotBefore(ResultCode.NO_SERVER_IN_HOME_REGION, Long.MAX_VALUE);

  private final BackendRegistry registry = new BackendRegistry();
  private final PositionHistory history = new PositionHistory();
  private final ServerBackoff backoff = new ServerBackoff(new Random(1));
  private final DatabaseState state = new DatabaseState(2, "bonds-1", List.of(new TermStart(2, 0)));
  private final SessionRouter router =
      new SessionRouter(
          "vm1",
          "domain-b",
          "north",
          new NoLoad(),
          new ReplicaLagTracker(),
          backoff,
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

  /** Guards against a preference for near servers that outweighs the home regions. */
  @ParameterizedTest
  @CsvSource({"south, bonds-3", "north, bonds-2"})
  void readsStayInHomeRegion(String region, String server) {
    assertThat(serverName(route(read(BOUNDED_AGE, region), VALID_LEASE)), is(server));
  }

  @ParameterizedTest
  @CsvSource({"north, true", "south, false"})
  void writesAreRefusedAtOnceIfPrimaryIsOutside(String region, boolean permitted) {
    SessionTarget target = route(demand(true, new Freshness.Latest(), region), VALID_LEASE);

    assertThat(
        target,
        is(
            permitted
                ? new RunOn(
                    registry.group("bonds").server("bonds-1").orElseThrow(),
                    2,
                    true,
                    null,
                    false,
                    NOW)
                : REFUSED_AT_ONCE));
  }

  /** Guards against a wait for a lease or a primary that cannot help. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void latestReadsAreRefusedAtOnceIfPrimaryIsOutside(boolean lease) {
    SessionDemand demand = read(new Freshness.Latest(), "south");

    assertThat(route(demand, lease ? VALID_LEASE : EXPIRED_LEASE), is(REFUSED_AT_ONCE));
  }

  @Test
  void isRefusedAtOnceIfRouteAndCustomerAreDisjoint() {
    HomeRegions none = new HomeRegions(true, Set.of());
    SessionDemand demand =
        new SessionDemand(
            "acme", false, BOUNDED_AGE, LogPosition.ZERO, Set.of(), none, SendLimit.NONE, 0, false);

    assertThat(route(demand, VALID_LEASE), is(REFUSED_AT_ONCE));
  }

  @Test
  void readsAreRefusedAtOnceIfNoServerIsInside() {
    assertThat(route(read(BOUNDED_AGE, "east"), VALID_LEASE), is(REFUSED_AT_ONCE));
  }

  @Test
  void readsAreRefusedAtOnceIfTheOnlyServerInsideLeaves() {
    announce("bonds-3", "south", ServerRole.REPLICA, true, 2);

    assertThat(route(read(BOUNDED_AGE, "south"), VALID_LEASE), is(REFUSED_AT_ONCE));
  }

  /** Guards against a fallback to a primary elsewhere while the replica at home is busy. */
  @Test
  void readsWaitForBusyServerInsideInsteadOfUsingOneOutside() {
    backoff.rejected("bonds-3", NOW);

    assertThat(
        route(read(BOUNDED_AGE, "south"), VALID_LEASE),
        is(new SessionTarget.Wait(ResultCode.NO_SERVER_IN_HOME_REGION)));
  }

  /** Guards against a resend elsewhere after the only server at home has rejected the read. */
  @Test
  void readsAreNotResentOutside() {
    SessionDemand demand =
        new SessionDemand(
            "acme",
            false,
            BOUNDED_AGE,
            LogPosition.ZERO,
            Set.of("bonds-3"),
            new HomeRegions(true, Set.of("south")),
            SendLimit.NONE,
            0,
            false);

    assertThat(
        route(demand, VALID_LEASE),
        is(new SessionTarget.Wait(ResultCode.NO_SERVER_IN_HOME_REGION)));
  }

  /** Guards against a change of the configuration while a statement waits for a connection. */
  @ParameterizedTest
  @CsvSource({
    "bonds-1, true, south, false",
    "bonds-1, true, north, true",
    "bonds-1, false, south, false",
    "bonds-2, false, south, false",
    "bonds-3, false, south, true"
  })
  void confirmsOnlyServersInside(String server, boolean write, String region, boolean confirmed) {
    SessionDemand demand =
        write ? demand(true, new Freshness.Latest(), region) : read(BOUNDED_AGE, region);

    boolean present =
        router
            .confirm(
                registry.group("bonds").server(server).orElseThrow(),
                demand,
                state,
                VALID_LEASE,
                history,
                Evacuations.NONE,
                NOW)
            .isPresent();

    assertThat(present, is(confirmed));
  }

  private SessionTarget route(SessionDemand demand, LeaseStatus lease) {
    return router.route(
        demand, registry.group("bonds"), state, lease, history, Evacuations.NONE, NOW);
  }

  private static SessionDemand read(Freshness freshness, String region) {
    return demand(false, freshness, region);
  }

  private static SessionDemand demand(boolean write, Freshness freshness, String region) {
    return new SessionDemand(
        "acme",
        write,
        freshness,
        LogPosition.ZERO,
        Set.of(),
        new HomeRegions(true, Set.of(region)),
        SendLimit.NONE,
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
