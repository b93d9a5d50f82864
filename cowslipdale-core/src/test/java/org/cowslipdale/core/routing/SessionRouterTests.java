package org.cowslipdale.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.ServerBackoff;
import org.cowslipdale.core.backend.ServerRole;
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

/** Tests where statements of sessions run. */
class SessionRouterTests {

  private static final long NOW = 100_000;
  private static final LeaseStatus LEASED = new LeaseStatus(NOW + 1_000);
  private static final LeaseStatus LEASELESS = new LeaseStatus(NOW - 1);
  private static final Freshness BOUNDED = new Freshness.BoundedAge(1_500);

  private final BackendRegistry registry = new BackendRegistry();
  private final PositionHistory history = new PositionHistory();
  private final ReplicaProgress progress = new ReplicaProgress();
  private final ServerBackoff backoff = new ServerBackoff(new Random(1));
  private final Set<String> ejected = new HashSet<>();
  private final DatabaseState state = new DatabaseState(2, "bonds-1", List.of(new TermStart(2, 0)));
  private final SessionRouter router =
      new SessionRouter("vm1", "domain-b", "north", new FakeLoad(), progress, backoff);

  private final class FakeLoad implements ServerLoad {

    @Override
    public int outstanding(String server) {
      return 0;
    }

    @Override
    public boolean isEjected(String server, Collection<String> group, long now) {
      return ejected.contains(server);
    }
  }

  @BeforeEach
  void announceServers() {
    announce("bonds-1", "domain-a", "north", ServerRole.PRIMARY, false, 1);
    announce("bonds-2", "domain-b", "north", ServerRole.REPLICA, false, 1);
    announce("bonds-3", "domain-c", "south", ServerRole.REPLICA, false, 1);
  }

  @Test
  void writesRunOnThePrimaryEvenWithoutALease() {
    assertThat(server(route(write(), LEASELESS)), is("bonds-1"));
  }

  @Test
  void readsOfTheLatestDataNeedThePrimaryUnderALease() {
    sample(NOW - 100, 70);

    RunOn target = (RunOn) route(read(new Freshness.Latest()), LEASED);

    assertThat(target.server().name(), is("bonds-1"));
    assertThat(target.leaseNeeded(), is(true));
    assertThat(
        route(read(new Freshness.Latest()), LEASELESS),
        is(new SessionTarget.Wait(ResultCode.NO_LEASE)));
  }

  @Test
  void readsOfAStatedAgeAskTheNearestReplicaForTheOldestPositionThatIsRecentEnough() {
    sample(NOW - 1_600, 60);
    sample(NOW - 1_200, 65);
    sample(NOW - 10, 90);

    RunOn target = (RunOn) route(read(BOUNDED), LEASELESS);

    assertThat(target.server().name(), is("bonds-2"));
    assertThat(target.after(), is(new LogPosition(3, 65)));
  }

  @Test
  void readsSeeWhatTheirSessionCommitted() {
    sample(NOW - 1_200, 65);
    SessionDemand demand = new SessionDemand(false, BOUNDED, new LogPosition(3, 80), Set.of());

    assertThat(((RunOn) route(demand, LEASED)).after(), is(new LogPosition(3, 80)));
  }

  @Test
  void positionsOfAnEarlierTermAreCoveredByAnyOfALaterOne() {
    sample(NOW - 1_200, 65);
    SessionDemand demand = new SessionDemand(false, BOUNDED, new LogPosition(2, 500), Set.of());

    assertThat(((RunOn) route(demand, LEASED)).after(), is(new LogPosition(3, 65)));
  }

  @ParameterizedTest
  @CsvSource({"1500, true", "1485, true", "1255, true", "1245, false", "100, false"})
  void aSampleThatIsTooOldIsNoneAndThePrimaryServesTheRead(long age, boolean tooOld) {
    sample(NOW - age, 65);

    RunOn target = (RunOn) route(read(BOUNDED), LEASED);

    assertThat(target.server().name(), is(tooOld ? "bonds-1" : "bonds-2"));
  }

  @ParameterizedTest
  @CsvSource({"200, false", "300, true"})
  void aLeaseThatEndsBeforeAReadCanArriveDoesNotCoverIt(long left, boolean covered) {
    SessionTarget target = route(read(new Freshness.Latest()), new LeaseStatus(NOW + left));

    assertThat(target instanceof RunOn, is(covered));
  }

  /** A statement may wait for its connection for longer than its choice stays right. */
  @ParameterizedTest
  @CsvSource({
    "bonds-1, true, 0, true",
    "bonds-2, true, 0, false",
    "bonds-2, false, 0, true",
    "bonds-2, false, 100, false",
    "bonds-1, false, 100, true",
    "bonds-1, false, 800, false"
  })
  void aChoiceIsConfirmedOnlyWhileItHolds(
      String server, boolean write, long later, boolean confirmed) {
    sample(NOW - 1_200, 65);
    SessionDemand demand = write ? write() : read(BOUNDED);

    Optional<RunOn> target =
        router.confirm(
            registry.group("bonds").server(server).orElseThrow(),
            demand,
            state,
            LEASED,
            history,
            NOW + later);

    assertThat(target.isPresent(), is(confirmed));
  }

  @Test
  void withoutALeaseAndASampleNothingIsRead() {
    assertThat(route(read(BOUNDED), LEASELESS), is(new SessionTarget.Wait(ResultCode.NO_LEASE)));
  }

  @Test
  void aReplicaThatLagsIsLeftAloneForAMoment() {
    sample(NOW - 1_200, 65);
    progress.declined("bonds-2", new LogPosition(3, 50), NOW - 10);

    assertThat(server(route(read(BOUNDED), LEASED)), is("bonds-1"));

    progress.served("bonds-2");
    assertThat(server(route(read(BOUNDED), LEASED)), is("bonds-2"));
  }

  @Test
  void aReadLeavesABusyServerAtOnceAndAWriteWaitsForIt() {
    sample(NOW - 1_200, 65);
    backoff.declined("bonds-2", NOW);
    assertThat(server(route(read(BOUNDED), LEASED)), is("bonds-1"));

    backoff.declined("bonds-1", NOW);
    assertThat("in another region", server(route(read(BOUNDED), LEASED)), is("bonds-3"));
    assertThat(
        route(write(), LEASED),
        is(new SessionTarget.Wait(ResultCode.OVERLOADED, backoff.untilMillis("bonds-1"))));
  }

  @Test
  void aServerThatWasBusyIsSparedByReadsForAWhile() {
    sample(NOW - 100, 65);
    backoff.declined("bonds-2", NOW - 1_000);
    backoff.declined("bonds-1", NOW - 1_000);
    assertThat(server(route(read(BOUNDED), LEASED)), is("bonds-3"));
    assertThat(server(route(write(), LEASED)), is("bonds-1"));

    backoff.declined("bonds-3", NOW - 1_000);
    assertThat("all were busy", server(route(read(BOUNDED), LEASED)), is("bonds-2"));
  }

  @Test
  void readsOfVmsBetweenEqualServersUseAllOfThem() {
    sample(NOW - 1_200, 65);
    announce("bonds-4", "domain-d", "north", ServerRole.REPLICA, false, 1);
    Set<String> used = new HashSet<>();
    for (int vm = 0; vm < 20; vm++) {
      SessionRouter other =
          new SessionRouter("vm" + vm, "domain-x", "north", new FakeLoad(), progress, backoff);
      used.add(
          server(other.route(read(BOUNDED), registry.group("bonds"), state, LEASED, history, NOW)));
    }

    assertThat(used, is(Set.of("bonds-2", "bonds-4")));
  }

  @Test
  void serversThatLeaveOrFailOrDeclinedAreAvoided() {
    sample(NOW - 1_200, 65);
    announce("bonds-2", "domain-b", "north", ServerRole.REPLICA, true, 2);
    assertThat(server(route(read(BOUNDED), LEASED)), is("bonds-1"));

    ejected.add("bonds-1");
    assertThat(server(route(read(BOUNDED), LEASED)), is("bonds-3"));

    SessionDemand demand = new SessionDemand(false, BOUNDED, LogPosition.ZERO, Set.of("bonds-3"));
    RunOn last = (RunOn) route(demand, LEASED);
    assertThat(last.server().name(), is("bonds-1"));
    assertThat(last.after(), is(nullValue()));
  }

  @Test
  void aPrimaryThatLeavesServesOnUntilItsSuccessorShouldHaveTakenOver() {
    registry.announce(
        announcement("bonds-1", "domain-a", "north", ServerRole.PRIMARY, true, 2), 0, NOW - 2_000);
    assertThat(route(write(), LEASED), is(instanceOf(RunOn.class)));

    SessionTarget later =
        router.route(write(), registry.group("bonds"), state, LEASED, history, NOW + 4_000);
    assertThat(later, is(not(instanceOf(RunOn.class))));
  }

  /** A statement may wait for its place until the server may have gone. */
  @Test
  void aPrimaryThatHasLeftForTooLongIsNotConfirmed() {
    registry.announce(
        announcement("bonds-1", "domain-a", "north", ServerRole.PRIMARY, true, 2), 0, NOW - 2_000);
    BackendServer chosen = ((RunOn) route(write(), LEASED)).server();

    Optional<RunOn> target = router.confirm(chosen, write(), state, LEASED, history, NOW + 4_000);

    assertThat(target.isPresent(), is(false));
  }

  private SessionTarget route(SessionDemand demand, LeaseStatus lease) {
    return router.route(demand, registry.group("bonds"), state, lease, history, NOW);
  }

  private static SessionDemand write() {
    return new SessionDemand(true, new Freshness.Latest(), LogPosition.ZERO, Set.of());
  }

  private static SessionDemand read(Freshness freshness) {
    return new SessionDemand(false, freshness, LogPosition.ZERO, Set.of());
  }

  private static String server(SessionTarget target) {
    return ((RunOn) target).server().name();
  }

  private void sample(long sentMillis, long offset) {
    history.add(new PositionSample(2, new LogPosition(3, offset), sentMillis));
  }

  private void announce(
      String server, String domain, String region, ServerRole role, boolean leaving, long number) {
    registry.announce(announcement(server, domain, region, role, leaving, number), 0, NOW);
  }

  private static Announcement announcement(
      String server, String domain, String region, ServerRole role, boolean leaving, long number) {
    return new Announcement(
        "bonds",
        server,
        server + ":1",
        domain,
        region,
        role,
        LogPosition.ZERO,
        0,
        5,
        30,
        leaving,
        1,
        number);
  }
}
