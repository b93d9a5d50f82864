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

/** Tests how positions travel from VM to VM through the control leader. */
class FleetPositionsTests {

  private static final String DATABASE = "bonds";
  private static final long LEADER_TERM = 4;
  private static final long RENEWAL_MICROS = 500_000;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Vm> vms = new ArrayList<>();
  private final PositionBoard board = new PositionBoard(LEADER_TERM);
  private Random random = new Random(0);
  private Clock leaderClock = new Clock(0, 1);
  private long nowMicros;
  private int reads;
  private int readsAtPrimary;

  private record Event(long atMicros, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      return Long.compare(atMicros, other.atMicros());
    }
  }

  /** A clock with an origin and a rate of its own. */
  private record Clock(long originMicros, double rate) {

    long millis(long micros) {
      return (long) (originMicros + micros * rate) / 1_000;
    }
  }

  private final class Vm {

    private final FleetPositions positions = new FleetPositions();
    private final Clock clock;
    private final long longestDelayMicros;

    Vm(Clock clock, long longestDelayMicros) {
      this.clock = clock;
      this.longestDelayMicros = longestDelayMicros;
    }

    long now() {
      return clock.millis(nowMicros);
    }

    void renew() {
      long asked = now();
      PositionReport report = positions.report(asked);
      after(
          delay(),
          () -> {
            board.reported(report);
            PositionNews news = board.news(leaderClock.millis(nowMicros));
            after(
                delay(),
                () -> {
                  positions.received(news, asked, now());
                  after(RENEWAL_MICROS, this::renew);
                });
          });
    }

    /** The offset of the position tells when the statement was sent. */
    void state() {
      long sentMillis = now();
      LogPosition position = new LogPosition(2, nowMicros);
      after(delay(), () -> positions.stated(DATABASE, new PositionSample(2, position, sentMillis)));
    }

    long delay() {
      return 500 + (long) (random.nextDouble() * longestDelayMicros);
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void aForwardedPositionNeverClaimsToBeNewerThanItIs(long seed) {
    random = new Random(seed);
    leaderClock = anyClock();
    for (int i = 0; i < 12; i++) {
      Vm vm = new Vm(anyClock(), 1_000L << random.nextInt(11));
      vms.add(vm);
      after(vm.delay(), vm::renew);
      every(30_000 + random.nextInt(2_000_000), vm::state);
    }
    every(100_000, () -> vms.forEach(FleetPositionsTests::assertTruthful));

    playUntil(60_000_000);
  }

  private static void assertTruthful(Vm vm) {
    long since = Long.MIN_VALUE;
    Optional<PositionSample> found = vm.positions.of(DATABASE).oldestSince(since);
    while (found.isPresent()) {
      PositionSample sample = found.get();
      long truth = vm.clock.millis(sample.position().offset());
      assertThat(sample.sentMillis(), is(lessThanOrEqualTo(truth)));
      found = vm.positions.of(DATABASE).oldestSince(sample.sentMillis() + 1);
    }
  }

  @Test
  void aVmWithoutTrafficKnowsAPositionOfTheLastSecond() {
    Vm busy = new Vm(new Clock(77_000_000, 1), 30_000);
    Vm quiet = new Vm(new Clock(5_000_000, 1), 30_000);
    after(0, busy::renew);
    after(0, quiet::renew);
    every(100_000, busy::state);

    playUntil(10_000_000);

    assertThat(quiet.positions.of(DATABASE).oldestSince(quiet.now() - 1_000).isPresent(), is(true));
  }

  /** The rest of a database's traffic of about 150 operations a second is reads. */
  @ParameterizedTest
  @CsvSource({"9, 0.25", "87, 0.25", "300, 0.25", "87, 0.1"})
  void readsOfAVmThatSeesFewOperationsUseTheReplicas(int count, double primaryShare) {
    long pauseMicros = count * 1_000_000L / 150;
    BackendRegistry registry = servers();
    DatabaseState state = new DatabaseState(2, "bonds-1", List.of(new TermStart(2, 0)));
    SessionRouter router =
        new SessionRouter(
            "vm1",
            "domain-b",
            "north",
            new NoLoad(),
            new ReplicaProgress(),
            new ServerBackoff(random));
    for (int i = 0; i < count; i++) {
      Vm vm = new Vm(new Clock(random.nextInt(1_000_000_000), 1), 60_000);
      vms.add(vm);
      after(random.nextInt((int) RENEWAL_MICROS), vm::renew);
      every(pauseMicros, () -> operation(vm, primaryShare, router, registry, state));
    }

    playUntil(3_000_000);
    reads = 0;
    readsAtPrimary = 0;
    playUntil(20_000_000);

    assertThat(readsAtPrimary, is(lessThan(reads / 20)));
  }

  private void operation(
      Vm vm,
      double primaryShare,
      SessionRouter router,
      BackendRegistry registry,
      DatabaseState state) {
    if (random.nextDouble() < primaryShare) {
      vm.state();
      return;
    }
    SessionDemand demand =
        new SessionDemand(false, new Freshness.BoundedAge(1_500), LogPosition.ZERO, Set.of());
    SessionTarget target =
        router.route(
            demand,
            registry.group(DATABASE),
            state,
            new LeaseStatus(vm.now() + 1_000),
            vm.positions.of(DATABASE),
            vm.now());
    reads++;
    if (((RunOn) target).leaseNeeded()) {
      readsAtPrimary++;
      vm.state();
    }
  }

  @Test
  void whatTheLeaderKnowsIsNotReportedAgain() {
    FleetPositions positions = new FleetPositions();
    positions.received(new PositionNews(LEADER_TERM, 1_000, List.of()), 90, 100);
    positions.stated(DATABASE, new PositionSample(2, new LogPosition(2, 7), 400));

    assertThat(positions.report(500).positions(), hasSize(1));
    assertThat("no answer came", positions.report(600).positions(), hasSize(1));

    positions.received(new PositionNews(LEADER_TERM, 1_500, List.of()), 600, 610);
    assertThat(positions.report(700).positions(), is(empty()));

    positions.received(new PositionNews(LEADER_TERM + 1, 10, List.of()), 700, 710);
    assertThat("another leader", positions.report(800).positions(), hasSize(1));
  }

  @Test
  void aReportThatRefersToAnotherLeadersClockIsIgnored() {
    AgedPosition stated = new AgedPosition(DATABASE, 2, new LogPosition(2, 7), 0);
    board.reported(new PositionReport(LEADER_TERM - 1, 900_000, List.of(stated)));
    assertThat(board.news(1_000).positions(), is(empty()));

    board.reported(new PositionReport(LEADER_TERM, 900, List.of(stated)));
    assertThat((double) board.news(1_000).positions().getFirst().ageMillis(), closeTo(100, 5));
  }

  private Clock anyClock() {
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

  private void playUntil(long micros) {
    while (!events.isEmpty() && events.peek().atMicros() <= micros) {
      Event event = events.remove();
      nowMicros = event.atMicros();
      event.action().run();
    }
  }

  private static BackendRegistry servers() {
    BackendRegistry registry = new BackendRegistry();
    registry.announce(announcement("bonds-1", "domain-a", ServerRole.PRIMARY), 0, 0);
    registry.announce(announcement("bonds-2", "domain-b", ServerRole.REPLICA), 0, 0);
    registry.announce(announcement("bonds-3", "domain-c", ServerRole.REPLICA), 0, 0);
    return registry;
  }

  private static Announcement announcement(String server, String domain, ServerRole role) {
    return new Announcement(
        DATABASE,
        server,
        server + ":1",
        domain,
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
    public boolean isEjected(String server, Collection<String> group, long now) {
      return false;
    }
  }
}
