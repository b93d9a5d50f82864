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
import org.cowslipdale.core.backend.BackendGroup;
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

class SessionRouterTests {

  private static final long NOW = 100_000;
  private static final String CUSTOMER = "acme";
  private static final LeaseStatus VALID_LEASE = new LeaseStatus(NOW + 1_000);
  private static final LeaseStatus EXPIRED_LEASE = new LeaseStatus(NOW - 1);
  private static final Freshness BOUNDED_AGE = new Freshness.BoundedAge(1_500);

  private final BackendRegistry registry = new BackendRegistry();
  private final PositionHistory history = new PositionHistory();
  private final ReplicaLagTracker replicaLag = new ReplicaLagTracker();
  private final ServerBackoff backoff = new ServerBackoff(new Random(1));
  private final Set<String> ejected = new HashSet<>();
  private final Set<String> warm = new HashSet<>();
  private final DatabaseState state = new DatabaseState(2, "bonds-1", List.of(new TermStart(2, 0)));
  private final SessionRouter router =
      new SessionRouter(
          "vm1", "domain-b", "north", new FakeLoad(), replicaLag, backoff, WriteFencing.BY_SERVERS);

  private final class FakeLoad implements ServerLoad {

    @Override
    public int outstanding(String server) {
      return 0;
    }

    @Override
    public boolean hasIdleConnection(String server, String customer) {
      return customer.equals(CUSTOMER) && warm.contains(server);
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
  void routesWritesToPrimaryWithoutLease() {
    assertThat(serverName(route(write(), EXPIRED_LEASE)), is("bonds-1"));
  }

  /** A replaced primary that accepts writes must get none of a VM that may not know of it. */
  @ParameterizedTest
  @CsvSource({"-1, false", "200, false", "300, true"})
  void requiresLeaseForWritesUnlessServersRefuseThem(long leaseLeftMillis, boolean permitted) {
    SessionRouter fencing =
        new SessionRouter(
            "vm1", "domain-b", "north", new FakeLoad(), replicaLag, backoff, WriteFencing.BY_LEASE);
    LeaseStatus lease = new LeaseStatus(NOW + leaseLeftMillis);
    BackendGroup group = registry.group("bonds");
    BackendServer primary = group.server("bonds-1").orElseThrow();

    SessionTarget target =
        fencing.route(write(), group, state, lease, history, Evacuations.NONE, NOW);

    assertThat(
        target,
        is(
            permitted
                ? new RunOn(primary, 2, true, null, true, NOW)
                : new SessionTarget.Wait(ResultCode.NO_LEASE)));
    assertThat(
        fencing.confirm(primary, write(), state, lease, history, Evacuations.NONE, NOW).isPresent(),
        is(permitted));
  }

  /**
   * Guards against the loss of an acknowledged commit: the successor of a primary is chosen by
   * positions that do not include what a VM without a lease still writes.
   */
  @ParameterizedTest
  @CsvSource({"-1, false", "200, false", "300, true"})
  void requiresLeaseForSynchronouslyReplicatedWrites(long leaseLeftMillis, boolean permitted) {
    SessionDemand demand =
        new SessionDemand(
            CUSTOMER,
            true,
            new Freshness.Latest(),
            LogPosition.ZERO,
            Set.of(),
            HomeRegions.EVERYWHERE,
            SendLimit.NONE,
            0,
            true);
    LeaseStatus lease = new LeaseStatus(NOW + leaseLeftMillis);
    BackendServer primary = registry.group("bonds").server("bonds-1").orElseThrow();

    assertThat(
        route(demand, lease),
        is(
            permitted
                ? new RunOn(primary, 2, true, null, true, NOW)
                : new SessionTarget.Wait(ResultCode.NO_LEASE)));
    assertThat(
        router.confirm(primary, demand, state, lease, history, Evacuations.NONE, NOW).isPresent(),
        is(permitted));
  }

  @Test
  void latestReadsRequirePrimaryAndValidLease() {
    addSample(NOW - 100, 70);

    RunOn target = (RunOn) route(read(new Freshness.Latest()), VALID_LEASE);

    assertThat(target.server().name(), is("bonds-1"));
    assertThat(target.leaseRequired(), is(true));
    assertThat(
        route(read(new Freshness.Latest()), EXPIRED_LEASE),
        is(new SessionTarget.Wait(ResultCode.NO_LEASE)));
  }

  @Test
  void boundedAgeReadsRequireOldestPositionWithinMaxAge() {
    addSample(NOW - 1_600, 60);
    addSample(NOW - 1_200, 65);
    addSample(NOW - 10, 90);

    RunOn target = (RunOn) route(read(BOUNDED_AGE), EXPIRED_LEASE);

    assertThat(target.server().name(), is("bonds-2"));
    assertThat(target.minPosition(), is(new LogPosition(3, 65)));
  }

  @Test
  void readsRequireSessionPosition() {
    addSample(NOW - 1_200, 65);
    SessionDemand demand =
        new SessionDemand(CUSTOMER, false, BOUNDED_AGE, new LogPosition(3, 80), Set.of());

    assertThat(((RunOn) route(demand, VALID_LEASE)).minPosition(), is(new LogPosition(3, 80)));
  }

  @Test
  void positionOfLaterTermCoversPositionOfEarlierTerm() {
    addSample(NOW - 1_200, 65);
    SessionDemand demand =
        new SessionDemand(CUSTOMER, false, BOUNDED_AGE, new LogPosition(2, 500), Set.of());

    assertThat(((RunOn) route(demand, VALID_LEASE)).minPosition(), is(new LogPosition(3, 65)));
  }

  @ParameterizedTest
  @CsvSource({"1500, true", "1485, true", "1255, true", "1245, false", "100, false"})
  void routesReadToPrimaryWhenSampleIsTooOld(long ageMillis, boolean tooOld) {
    addSample(NOW - ageMillis, 65);

    RunOn target = (RunOn) route(read(BOUNDED_AGE), VALID_LEASE);

    assertThat(target.server().name(), is(tooOld ? "bonds-1" : "bonds-2"));
  }

  @ParameterizedTest
  @CsvSource({"200, false", "300, true"})
  void requiresLeaseToOutlastTransitOfLatestRead(long leaseLeftMillis, boolean covered) {
    SessionTarget target =
        route(read(new Freshness.Latest()), new LeaseStatus(NOW + leaseLeftMillis));

    assertThat(target instanceof RunOn, is(covered));
  }

  /**
   * While a statement waits for a connection, the sample and the lease behind its choice expire.
   */
  @ParameterizedTest
  @CsvSource({
    "bonds-1, true, 0, true",
    "bonds-2, true, 0, false",
    "bonds-2, false, 0, true",
    "bonds-2, false, 100, false",
    "bonds-1, false, 100, true",
    "bonds-1, false, 800, false"
  })
  void confirmsChoiceOnlyWhileItIsValid(
      String server, boolean write, long laterMillis, boolean confirmed) {
    addSample(NOW - 1_200, 65);
    SessionDemand demand = write ? write() : read(BOUNDED_AGE);

    Optional<RunOn> target =
        router.confirm(
            registry.group("bonds").server(server).orElseThrow(),
            demand,
            state,
            VALID_LEASE,
            history,
            Evacuations.NONE,
            NOW + laterMillis);

    assertThat(target.isPresent(), is(confirmed));
  }

  @Test
  void waitsForLeaseWithoutLeaseAndSample() {
    assertThat(
        route(read(BOUNDED_AGE), EXPIRED_LEASE), is(new SessionTarget.Wait(ResultCode.NO_LEASE)));
  }

  @Test
  void avoidsLaggingReplicaUntilItServesRead() {
    addSample(NOW - 1_200, 65);
    replicaLag.rejected("bonds-2", new LogPosition(3, 50), NOW - 10);

    assertThat(serverName(route(read(BOUNDED_AGE), VALID_LEASE)), is("bonds-1"));

    replicaLag.served("bonds-2");
    assertThat(serverName(route(read(BOUNDED_AGE), VALID_LEASE)), is("bonds-2"));
  }

  @Test
  void readsAvoidBusyServerAndWritesWaitForBusyPrimary() {
    addSample(NOW - 1_200, 65);
    backoff.rejected("bonds-2", NOW);
    assertThat(serverName(route(read(BOUNDED_AGE), VALID_LEASE)), is("bonds-1"));

    backoff.rejected("bonds-1", NOW);
    assertThat(
        "the only server left is in another region",
        serverName(route(read(BOUNDED_AGE), VALID_LEASE)),
        is("bonds-3"));
    assertThat(
        route(write(), VALID_LEASE),
        is(new SessionTarget.Wait(ResultCode.OVERLOADED, backoff.endMillis("bonds-1"))));
  }

  @Test
  void readsAvoidRecentlyOverloadedServers() {
    addSample(NOW - 100, 65);
    backoff.rejected("bonds-2", NOW - 1_000);
    backoff.rejected("bonds-1", NOW - 1_000);
    assertThat(serverName(route(read(BOUNDED_AGE), VALID_LEASE)), is("bonds-3"));
    assertThat(serverName(route(write(), VALID_LEASE)), is("bonds-1"));

    backoff.rejected("bonds-3", NOW - 1_000);
    assertThat(
        "all servers were overloaded",
        serverName(route(read(BOUNDED_AGE), VALID_LEASE)),
        is("bonds-2"));
  }

  @Test
  void vmsSpreadReadsOverEquivalentServers() {
    addSample(NOW - 1_200, 65);
    announce("bonds-4", "domain-d", "north", ServerRole.REPLICA, false, 1);
    Set<String> used = new HashSet<>();
    for (int vm = 0; vm < 20; vm++) {
      SessionRouter other =
          new SessionRouter(
              "vm" + vm,
              "domain-x",
              "north",
              new FakeLoad(),
              replicaLag,
              backoff,
              WriteFencing.BY_SERVERS);
      used.add(
          serverName(
              other.route(
                  read(BOUNDED_AGE),
                  registry.group("bonds"),
                  state,
                  VALID_LEASE,
                  history,
                  Evacuations.NONE,
                  NOW)));
    }

    assertThat(used, is(Set.of("bonds-2", "bonds-4")));
  }

  /**
   * Guards against a new connection for nearly every statement: with few connections to each server
   * and more customers, a fixed preference for one server replaces them all the time.
   */
  @Test
  void prefersServerWithIdleConnectionOfTheCustomer() {
    addSample(NOW - 1_200, 65);
    announce("bonds-4", "domain-d", "north", ServerRole.REPLICA, false, 1);
    assertThat(serverName(route(read(BOUNDED_AGE), VALID_LEASE)), is("bonds-2"));

    warm.add("bonds-4");
    assertThat(serverName(route(read(BOUNDED_AGE), VALID_LEASE)), is("bonds-4"));

    warm.add("bonds-2");
    warm.add("bonds-3");
    assertThat(serverName(route(read(BOUNDED_AGE), VALID_LEASE)), is("bonds-2"));
  }

  @Test
  void avoidsLeavingEjectedAndTriedServers() {
    addSample(NOW - 1_200, 65);
    announce("bonds-2", "domain-b", "north", ServerRole.REPLICA, true, 2);
    assertThat(serverName(route(read(BOUNDED_AGE), VALID_LEASE)), is("bonds-1"));

    ejected.add("bonds-1");
    assertThat(serverName(route(read(BOUNDED_AGE), VALID_LEASE)), is("bonds-3"));

    SessionDemand demand =
        new SessionDemand(CUSTOMER, false, BOUNDED_AGE, LogPosition.ZERO, Set.of("bonds-3"));
    RunOn target = (RunOn) route(demand, VALID_LEASE);
    assertThat(target.server().name(), is("bonds-1"));
    assertThat(target.minPosition(), is(nullValue()));
  }

  @Test
  void routesToLeavingPrimaryOnlyDuringGracePeriod() {
    registry.addAnnouncement(
        announcement("bonds-1", "domain-a", "north", ServerRole.PRIMARY, true, 2), 0, NOW - 2_000);
    assertThat(route(write(), VALID_LEASE), is(instanceOf(RunOn.class)));

    SessionTarget later =
        router.route(
            write(),
            registry.group("bonds"),
            state,
            VALID_LEASE,
            history,
            Evacuations.NONE,
            NOW + 4_000);
    assertThat(later, is(not(instanceOf(RunOn.class))));
  }

  /** While a statement waits for a connection, a leaving server may stop. */
  @Test
  void doesNotConfirmLeavingPrimaryAfterGracePeriod() {
    registry.addAnnouncement(
        announcement("bonds-1", "domain-a", "north", ServerRole.PRIMARY, true, 2), 0, NOW - 2_000);
    BackendServer chosen = ((RunOn) route(write(), VALID_LEASE)).server();

    Optional<RunOn> target =
        router.confirm(chosen, write(), state, VALID_LEASE, history, Evacuations.NONE, NOW + 4_000);

    assertThat(target.isPresent(), is(false));
  }

  private SessionTarget route(SessionDemand demand, LeaseStatus lease) {
    return router.route(
        demand, registry.group("bonds"), state, lease, history, Evacuations.NONE, NOW);
  }

  private static SessionDemand write() {
    return new SessionDemand(CUSTOMER, true, new Freshness.Latest(), LogPosition.ZERO, Set.of());
  }

  private static SessionDemand read(Freshness freshness) {
    return new SessionDemand(CUSTOMER, false, freshness, LogPosition.ZERO, Set.of());
  }

  private static String serverName(SessionTarget target) {
    return ((RunOn) target).server().name();
  }

  private void addSample(long sentMillis, long offset) {
    history.add(new PositionSample(2, new LogPosition(3, offset), sentMillis));
  }

  private void announce(
      String server,
      String failureDomain,
      String region,
      ServerRole role,
      boolean leaving,
      long sequence) {
    registry.addAnnouncement(
        announcement(server, failureDomain, region, role, leaving, sequence), 0, NOW);
  }

  private static Announcement announcement(
      String server,
      String failureDomain,
      String region,
      ServerRole role,
      boolean leaving,
      long sequence) {
    return new Announcement(
        "bonds",
        server,
        server + ":1",
        failureDomain,
        region,
        role,
        LogPosition.ZERO,
        0,
        5,
        30,
        leaving,
        1,
        sequence);
  }
}
