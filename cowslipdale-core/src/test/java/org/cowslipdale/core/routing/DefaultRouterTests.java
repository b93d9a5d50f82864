package org.cowslipdale.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.RouteDecision.Refuse;
import org.cowslipdale.core.routing.RouteDecision.RunOn;
import org.cowslipdale.core.routing.RouteDecision.Wait;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Acknowledgement;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.DatabaseState.TermStart;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.WorkClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DefaultRouterTests {

  private static final long NOW = 100_000;
  private static final LeaseStatus VALID_LEASE = new LeaseStatus(NOW + 1_000);

  private final BackendRegistry registry = new BackendRegistry();
  private final DatabaseState state =
      new DatabaseState(2, "bonds-1", List.of(new TermStart(1, 0), new TermStart(2, 50)));
  private final Router router =
      new DefaultRouter("praha-a", "praha", new RoutingPolicy.NearestReplica(), new NoLoad());

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

  DefaultRouterTests() {
    announce("bonds-1", "praha-a", ServerRole.PRIMARY, 2, 100, 0);
    announce("bonds-2", "praha-b", ServerRole.REPLICA, 2, 90, 500);
    announce("bonds-3", "brno-a", ServerRole.REPLICA, 2, 100, 20);
  }

  @Test
  void routesWritesToPrimaryOfView() {
    RunOn run = (RunOn) route(write(), LogPosition.ZERO, VALID_LEASE);

    assertThat(run.server().name(), is("bonds-1"));
    assertThat(run.term(), is(2L));
    assertThat(run.conditions().asPrimary(), is(true));
  }

  @Test
  void doesNotRouteWritesWithoutValidLease() {
    Wait wait = (Wait) route(write(), LogPosition.ZERO, new LeaseStatus(NOW));

    assertThat(wait.code(), is(ResultCode.NO_LEASE));
  }

  @Test
  void prefersFreshReplicaInRegionToPrimary() {
    RunOn run = (RunOn) route(read(new Freshness.BoundedAge(5_000)), LogPosition.ZERO, VALID_LEASE);

    assertThat(run.server().name(), is("bonds-2"));
  }

  @Test
  void routesReadToServerThatReachedSessionPosition() {
    RunOn run = (RunOn) route(read(new Freshness.Session()), new LogPosition(2, 95), VALID_LEASE);

    assertThat(run.server().name(), is("bonds-1"));
    assertThat(run.conditions().minOffset(), is(95L));
  }

  @ParameterizedTest
  @CsvSource({"0, bonds-2", "2000, bonds-2", "4000, bonds-2", "4500, bonds-2", "4501, bonds-1"})
  void addsTimeSinceLeaseExpiryToAge(long expiredForMillis, String server) {
    LeaseStatus lease = new LeaseStatus(NOW - expiredForMillis);

    RunOn run = (RunOn) route(read(new Freshness.BoundedAge(5_000)), LogPosition.ZERO, lease);

    assertThat(run.server().name(), is(server));
    assertThat(run.conditions().maxAgeMillis(), is(5_000 - expiredForMillis));
  }

  @Test
  void waitsWhenLeaseExpiredLongerAgoThanMaxAge() {
    LeaseStatus lease = new LeaseStatus(NOW - 5_001);

    assertThat(
        route(read(new Freshness.BoundedAge(5_000)), LogPosition.ZERO, lease),
        instanceOf(Wait.class));
  }

  @Test
  void refusesLostSessionPosition() {
    Refuse refuse =
        (Refuse) route(read(new Freshness.Session()), new LogPosition(1, 60), VALID_LEASE);

    assertThat(refuse.code(), is(ResultCode.SESSION_POSITION_LOST));
  }

  @Test
  void waitsWhenSessionPositionHasUnknownTerm() {
    assertThat(
        route(read(new Freshness.Session()), new LogPosition(3, 1), VALID_LEASE),
        instanceOf(Wait.class));
  }

  @Test
  void doesNotReadFromServerThatFollowsReplacedPrimary() {
    announce("bonds-2", "praha-b", ServerRole.REPLICA, 1, 99, 0);

    RunOn run = (RunOn) route(read(new Freshness.AnyAge()), LogPosition.ZERO, VALID_LEASE);

    assertThat(run.server().name(), is("bonds-1"));
  }

  @Test
  void doesNotReadFromLeavingServer() {
    registry.addAnnouncement(
        announcement("bonds-2", "praha-b", ServerRole.REPLICA, 2, 90, 0, true), 0, NOW);

    RunOn run = (RunOn) route(read(new Freshness.AnyAge()), LogPosition.ZERO, VALID_LEASE);

    assertThat(run.server().name(), is("bonds-1"));
  }

  private RouteDecision route(WorkClass workClass, LogPosition sessionPosition, LeaseStatus lease) {
    RouteRequest request = new RouteRequest("bonds", workClass, sessionPosition, Set.of());
    return router.route(request, registry.group("bonds"), state, lease, Evacuations.NONE, NOW);
  }

  private void announce(
      String server,
      String failureDomain,
      ServerRole role,
      long term,
      long offset,
      long ageMillis) {
    registry.addAnnouncement(
        announcement(server, failureDomain, role, term, offset, ageMillis, false), 0, NOW);
  }

  private int sequence;

  private Announcement announcement(
      String server,
      String failureDomain,
      ServerRole role,
      long term,
      long offset,
      long ageMillis,
      boolean leaving) {
    return new Announcement(
        "bonds",
        server,
        "127.0.0.1:1",
        failureDomain,
        failureDomain.startsWith("praha") ? "praha" : "brno",
        role,
        new LogPosition(term, offset),
        ageMillis,
        5,
        30,
        leaving,
        1,
        ++sequence);
  }

  private static WorkClass write() {
    return new WorkClass(
        "w", false, true, new Freshness.Session(), Acknowledgement.PRIMARY, 1_000, 1_000);
  }

  private static WorkClass read(Freshness freshness) {
    return new WorkClass("r", true, true, freshness, Acknowledgement.PRIMARY, 1_000, 1_000);
  }
}
