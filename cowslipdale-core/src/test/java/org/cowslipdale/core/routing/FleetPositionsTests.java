package org.cowslipdale.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerBackoff;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.routing.SessionTarget.RunOn;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.DatabaseState.TermStart;
import org.cowslipdale.core.view.Freshness;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how the control leader relays log positions between VMs whose clocks differ. */
class FleetPositionsTests {

  private static final String DATABASE = "bonds";
  private static final long LEADER_TERM = 4;
  private static final long RENEWAL_INTERVAL_MICROS = 500_000;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Vm> vms = new ArrayList<>();
  private final PositionCollector collector = new PositionCollector(LEADER_TERM);
  private Random random = new Random(0);
  private Clock leaderClock = new Clock(0, 1);
  private long nowMicros;
  private int reads;
  private int readsOnPrimary;

  private record Event(long atMicros, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      return Long.compare(atMicros, other.atMicros());
    }
  }

  /** A clock with its own origin and rate. */
  private record Clock(long originMicros, double rate) {

    long millis(long micros) {
      return (long) (originMicros + micros * rate) / 1_000;
    }
  }

  private final class Vm {

    private final FleetPositions positions = new FleetPositions();
    private final Clock clock;
    private final long maxDelayMicros;

    Vm(Clock clock, long maxDelayMicros) {
      this.clock = clock;
      this.maxDelayMicros = maxDelayMicros;
    }

    long now() {
      return clock.millis(nowMicros);
    }

    void renewLease() {
      long requestedMillis = now();
      PositionReport report = positions.createReport(requestedMillis);
      after(
          randomDelayMicros(),
          () -> {
            collector.addReport(report);
            PositionUpdate update = collector.createUpdate(leaderClock.millis(nowMicros));
            after(
                randomDelayMicros(),
                () -> {
                  positions.applyUpdate(update, requestedMillis, now());
                  after(RENEWAL_INTERVAL_MICROS, this::renewLease);
                });
          });
    }

    /** The offset of the position encodes when the statement was sent. */
    void receivePositionFromPrimary() {
      long sentMillis = now();
      LogPosition position = new LogPosition(2, nowMicros);
      after(
          randomDelayMicros(),
          () -> positions.recordLocal(DATABASE, new PositionSample(2, position, sentMillis)));
    }

    long randomDelayMicros() {
      return 500 + (long) (random.nextDouble() * maxDelayMicros);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void neverOverstatesTimeCoveredByForwardedPosition(long seed) {
    random = new Random(seed);
    leaderClock = randomClock();
    for (int i = 0; i < 12; i++) {
      Vm vm = new Vm(randomClock(), 1_000L << random.nextInt(11));
      vms.add(vm);
      after(vm.randomDelayMicros(), vm::renewLease);
      every(30_000 + random.nextInt(2_000_000), vm::receivePositionFromPrimary);
    }
    every(100_000, () -> vms.forEach(FleetPositionsTests::assertCoveredTimeNotOverstated));

    runUntil(60_000_000);
  }

  private static void assertCoveredTimeNotOverstated(Vm vm) {
    long since = Long.MIN_VALUE;
    Optional<PositionSample> found = vm.positions.historyOf(DATABASE).oldestSince(since);
    while (found.isPresent()) {
      PositionSample sample = found.get();
      long actualSentMillis = vm.clock.millis(sample.position().offset());
      assertThat(sample.sentMillis(), is(lessThanOrEqualTo(actualSentMillis)));
      found = vm.positions.historyOf(DATABASE).oldestSince(sample.sentMillis() + 1);
    }
  }

  @Test
  void idleVmKnowsPositionOfLastSecond() {
    Vm busy = new Vm(new Clock(77_000_000, 1), 30_000);
    Vm idle = new Vm(new Clock(5_000_000, 1), 30_000);
    after(0, busy::renewLease);
    after(0, idle::renewLease);
    every(100_000, busy::receivePositionFromPrimary);

    runUntil(10_000_000);

    assertThat(
        idle.positions.historyOf(DATABASE).oldestSince(idle.now() - 1_000).isPresent(), is(true));
  }

  /**
   * With many VMs each one receives few positions from the primary itself, and its reads would fall
   * back to the primary if no other VM's positions were relayed. The database gets about 150
   * operations per second in all; {@code primaryShare} of them run on the primary in any case, the
   * rest are bounded-age reads.
   */
  @ParameterizedTest
  @CsvSource({"9, 0.25", "87, 0.25", "300, 0.25", "87, 0.1"})
  void vmsWithLittleTrafficReadFromReplicas(int vmCount, double primaryShare) {
    long intervalMicros = vmCount * 1_000_000L / 150;
    BackendRegistry registry = servers();
    DatabaseState state = new DatabaseState(2, "bonds-1", List.of(new TermStart(2, 0)));
    SessionRouter router =
        new SessionRouter(
            "vm1",
            "domain-b",
            "north",
            new NoLoad(),
            new ReplicaLagTracker(),
            new ServerBackoff(random),
            WriteFencing.BY_SERVERS);
    for (int i = 0; i < vmCount; i++) {
      Vm vm = new Vm(new Clock(random.nextInt(1_000_000_000), 1), 60_000);
      vms.add(vm);
      after(random.nextInt((int) RENEWAL_INTERVAL_MICROS), vm::renewLease);
      every(intervalMicros, () -> runOperation(vm, primaryShare, router, registry, state));
    }

    runUntil(3_000_000);
    reads = 0;
    readsOnPrimary = 0;
    runUntil(20_000_000);

    assertThat(readsOnPrimary, is(lessThan(reads / 20)));
  }

  private void runOperation(
      Vm vm,
      double primaryShare,
      SessionRouter router,
      BackendRegistry registry,
      DatabaseState state) {
    if (random.nextDouble() < primaryShare) {
      vm.receivePositionFromPrimary();
      return;
    }
    SessionDemand demand =
        new SessionDemand(
            "acme", false, new Freshness.BoundedAge(1_500), LogPosition.ZERO, Set.of());
    SessionTarget target =
        router.route(
            demand,
            registry.group(DATABASE),
            state,
            new LeaseStatus(vm.now() + 1_000),
            vm.positions.historyOf(DATABASE),
            Evacuations.NONE,
            vm.now());
    reads++;
    if (((RunOn) target).leaseRequired()) {
      readsOnPrimary++;
      vm.receivePositionFromPrimary();
    }
  }

  @Test
  void doesNotReportPositionKnownToLeader() {
    FleetPositions positions = new FleetPositions();
    positions.applyUpdate(new PositionUpdate(LEADER_TERM, 1_000, List.of()), 90, 100);
    positions.recordLocal(DATABASE, new PositionSample(2, new LogPosition(2, 7), 400));

    assertThat(positions.createReport(500).positions(), hasSize(1));
    assertThat("no reply arrived", positions.createReport(600).positions(), hasSize(1));

    positions.applyUpdate(new PositionUpdate(LEADER_TERM, 1_500, List.of()), 600, 610);
    assertThat(positions.createReport(700).positions(), is(empty()));

    positions.applyUpdate(new PositionUpdate(LEADER_TERM + 1, 10, List.of()), 700, 710);
    assertThat("another leader", positions.createReport(800).positions(), hasSize(1));
  }

  @Test
  void ignoresReportThatRefersToClockOfAnotherLeader() {
    AgedPosition position = new AgedPosition(DATABASE, 2, new LogPosition(2, 7), 0);
    collector.addReport(new PositionReport(LEADER_TERM - 1, 900_000, List.of(position)));
    assertThat(collector.createUpdate(1_000).positions(), is(empty()));

    collector.addReport(new PositionReport(LEADER_TERM, 900, List.of(position)));
    assertThat(
        (double) collector.createUpdate(1_000).positions().getFirst().ageMillis(), closeTo(100, 5));
  }

  private Clock randomClock() {
    return new Clock(random.nextInt(1_000_000_000), 0.96 + 0.09 * random.nextDouble());
  }

  private void after(long micros, Runnable action) {
    events.add(new Event(nowMicros + micros, action));
  }

  private void every(long micros, Runnable action) {
    after(
        (long) (micros * (0.5 + random.nextDouble())),
        () -> {
          action.run();
          every(micros, action);
        });
  }

  private void runUntil(long micros) {
    while (!events.isEmpty() && events.peek().atMicros() <= micros) {
      Event event = events.remove();
      nowMicros = event.atMicros();
      event.action().run();
    }
  }

  private static BackendRegistry servers() {
    BackendRegistry registry = new BackendRegistry();
    registry.addAnnouncement(announcement("bonds-1", "domain-a", ServerRole.PRIMARY), 0, 0);
    registry.addAnnouncement(announcement("bonds-2", "domain-b", ServerRole.REPLICA), 0, 0);
    registry.addAnnouncement(announcement("bonds-3", "domain-c", ServerRole.REPLICA), 0, 0);
    return registry;
  }

  private static Announcement announcement(String server, String failureDomain, ServerRole role) {
    return new Announcement(
        DATABASE,
        server,
        server + ":1",
        failureDomain,
        "north",
        role,
        LogPosition.ZERO,
        0,
        5,
        30,
        false,
        1,
        1);
  }

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
}
