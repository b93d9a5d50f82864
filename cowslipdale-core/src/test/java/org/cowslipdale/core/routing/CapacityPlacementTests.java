package org.cowslipdale.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.ServerBackoff;
import org.cowslipdale.core.backend.ServerCapacity;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.ServerFailure;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.DatabaseState.TermStart;
import org.cowslipdale.core.view.Freshness;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs statements of seeded arrivals against fake servers. Each case also runs with estimates that
 * observe nothing, so that the limits stay fixed at the announced slots, and shows that the fixed
 * limit does not meet the requirement.
 */
class CapacityPlacementTests {

  private static final int SLOTS = 4;
  private static final long SERVICE_MILLIS = 10;
  private static final List<String> SERVERS = List.of("bonds-1", "bonds-2", "bonds-3");
  private static final String ODD = "bonds-1";

  /** Which response a server gives to a statement. */
  private interface Behaviour {
    Response respond(String server, int concurrent, long now, Random random);
  }

  private record Response(double millis, boolean failed) {}

  private record Running(Vm vm, String server, long sentMillis, long doneMillis, boolean failed) {}

  /** VMs, the servers that they use, and what was counted in the current period. */
  private static final class Fleet {

    private final Random random;
    private final Behaviour behaviour;
    private final boolean adaptive;
    private final List<Vm> vms = new ArrayList<>();
    private final List<BackendServer> servers = new ArrayList<>();
    private final PriorityQueue<Running> running =
        new PriorityQueue<>(Comparator.comparingLong(Running::doneMillis));
    private final Map<String, Integer> concurrent = new HashMap<>();
    private final TreeMap<String, Integer> sent = new TreeMap<>();
    private final List<Double> limits = new ArrayList<>();
    private int total;
    private int overKnee;
    private long longestGapMillis;
    private long lastOddMillis;
    private long now = 1_000;

    Fleet(long seed, boolean adaptive, int vmCount, Behaviour behaviour) {
      this.random = new Random(seed);
      this.adaptive = adaptive;
      this.behaviour = behaviour;
      BackendRegistry registry = new BackendRegistry();
      SERVERS.forEach(name -> registry.addAnnouncement(announcement(name, "north"), 0, now));
      servers.addAll(registry.group("bonds").servers().values());
      // VMs that prefer the odd server among equal ones, so that a fixed limit shows its effect.
      for (int i = 0; vms.size() < vmCount; i++) {
        Vm vm = new Vm("vm" + i);
        if (vm.placement.choose(servers, "acme", now).orElseThrow().name().equals(ODD)) {
          vms.add(vm);
        }
      }
    }

    /** Runs arrivals at a rate per VM for a time, and counts only these. */
    void run(long durationMillis, double perSecond) {
      sent.clear();
      limits.clear();
      total = 0;
      overKnee = 0;
      longestGapMillis = 0;
      lastOddMillis = now;
      long endMillis = now + durationMillis;
      for (; now < endMillis; now++) {
        while (!running.isEmpty() && running.peek().doneMillis() <= now) {
          complete(running.remove());
        }
        for (Vm vm : vms) {
          if (random.nextDouble() < perSecond / 1_000) {
            send(vm);
          }
        }
        limits.add(vms.getFirst().capacity.estimate(ODD, SLOTS).limit());
      }
      longestGapMillis = Math.max(longestGapMillis, now - lastOddMillis);
    }

    double shareOfOdd() {
      return (double) sent.getOrDefault(ODD, 0) / total;
    }

    private void send(Vm vm) {
      BackendServer server = vm.placement.choose(servers, "acme", now).orElseThrow();
      String name = server.name();
      int atServer = concurrent.merge(name, 1, Integer::sum);
      vm.outstanding.merge(name, 1, Integer::sum);
      sent.merge(name, 1, Integer::sum);
      total++;
      if (name.equals(ODD)) {
        overKnee += atServer > SLOTS / 2 ? 1 : 0;
        longestGapMillis = Math.max(longestGapMillis, now - lastOddMillis);
        lastOddMillis = now;
      }
      Response response = behaviour.respond(name, atServer, now, random);
      double jitter = 0.8 + 0.4 * random.nextDouble();
      long doneMillis = now + Math.max(1, Math.round(response.millis() * jitter));
      running.add(new Running(vm, name, now, doneMillis, response.failed()));
    }

    private void complete(Running statement) {
      if (adaptive) {
        BackendServer server =
            servers.stream()
                .filter(candidate -> candidate.name().equals(statement.server()))
                .findFirst()
                .orElseThrow();
        statement.vm.placement.recordAnswer(
            server,
            "read",
            statement.failed() ? ServerFailure.FAILED : null,
            now - statement.sentMillis(),
            now);
      }
      concurrent.merge(statement.server(), -1, Integer::sum);
      statement.vm.outstanding.merge(statement.server(), -1, Integer::sum);
    }
  }

  private static final class Vm implements ServerLoad {

    private final Map<String, Integer> outstanding = new HashMap<>();
    private final ServerCapacity capacity = new ServerCapacity();
    private final CapacityPlacement placement;
    private final Set<String> warm;

    Vm(String name, String... warm) {
      this.warm = warm.length == 0 ? Set.copyOf(SERVERS) : Set.of(warm);
      placement =
          new CapacityPlacement(
              name, "domain-x", "north", this, new ServerBackoff(new Random(1)), capacity);
    }

    @Override
    public int outstanding(String server) {
      return outstanding.getOrDefault(server, 0);
    }

    @Override
    public boolean hasIdleConnection(String server, String customer) {
      return warm.contains(server);
    }

    @Override
    public boolean isEjected(String server, Collection<String> group, long now) {
      return false;
    }
  }

  /** With a fixed limit, a server that is twice as slow gets a share as if it were not. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 6, 15, 19, 21, 23, 30})
  void avoidsServerTwiceAsSlow(long seed) {
    assertThat(shareOfSlowServer(seed, true), is(lessThan(0.15)));
    assertThat(shareOfSlowServer(seed, false), is(greaterThan(0.2)));
  }

  private static double shareOfSlowServer(long seed, boolean adaptive) {
    Fleet fleet =
        new Fleet(seed, adaptive, 6, (server, atServer, now, random) -> slowIf(server, true, 2));
    fleet.run(2_000, 20);
    fleet.run(8_000, 20);
    return fleet.shareOfOdd();
  }

  /** A server that slows down beyond half of its slots must not be filled up to its slots. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 6, 15, 19, 21, 23, 30})
  void keepsServerBelowLoadAtWhichItSlowsDown(long seed) {
    Fleet adaptive = new Fleet(seed, true, 1, CapacityPlacementTests::slowBeyondHalf);
    Fleet fixed = new Fleet(seed, false, 1, CapacityPlacementTests::slowBeyondHalf);
    for (Fleet fleet : List.of(adaptive, fixed)) {
      fleet.run(3_000, 500);
      fleet.run(10_000, 500);
    }

    assertThat(
        (double) adaptive.overKnee / adaptive.total,
        is(lessThan(0.5 * fixed.overKnee / fixed.total)));
  }

  /** After a server got faster, a VM with little traffic must use it again within 2 s. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 6, 15, 19, 21, 23, 30})
  void followsChangingSpeed(long seed) {
    long recoveryMillis = 11_000;
    Behaviour recovering =
        (server, atServer, now, random) -> slowIf(server, now < recoveryMillis, 5);
    Fleet adaptive = new Fleet(seed, true, 6, recovering);
    Fleet fixed = new Fleet(seed, false, 6, recovering);
    adaptive.run(2_000, 20);
    adaptive.run(8_000, 20);
    fixed.run(10_000, 20);
    assertThat(adaptive.shareOfOdd(), is(lessThan(0.15)));
    assertThat(fixed.shareOfOdd(), is(greaterThan(0.15)));

    adaptive.run(2_000, 20);
    fixed.run(2_000, 20);
    adaptive.run(3_000, 20);
    fixed.run(3_000, 20);
    assertThat(adaptive.shareOfOdd(), is(greaterThan(0.7 * fixed.shareOfOdd())));
  }

  /** A limit that swings under constant load would move load to and fro. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 6, 15, 19, 21, 23, 30})
  void limitVariesLittleUnderConstantLoad(long seed) {
    Fleet fleet = new Fleet(seed, true, 1, CapacityPlacementTests::slowBeyondHalf);
    fleet.run(5_000, 900);
    fleet.run(20_000, 900);

    double mean = fleet.limits.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
    double variance =
        fleet.limits.stream().mapToDouble(limit -> (limit - mean) * (limit - mean)).sum()
            / fleet.limits.size();
    // A fixed limit has no variance, but stays at the slots.
    assertThat(mean, is(lessThan(0.8 * SLOTS)));
    assertThat(Math.sqrt(variance), is(lessThan(0.25 * mean)));
  }

  /** VMs that do not know of each other share what a server handles well. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 6, 15, 19, 21, 23, 30})
  void twoVmsShareServer(long seed) {
    Fleet adaptive = new Fleet(seed, true, 2, CapacityPlacementTests::slowBeyondHalf);
    Fleet fixed = new Fleet(seed, false, 2, CapacityPlacementTests::slowBeyondHalf);
    for (Fleet fleet : List.of(adaptive, fixed)) {
      fleet.run(3_000, 250);
      fleet.run(10_000, 250);
    }

    assertThat(
        (double) adaptive.overKnee / adaptive.total,
        is(lessThan(0.6 * fixed.overKnee / fixed.total)));
    double first = adaptive.vms.getFirst().capacity.estimate(ODD, SLOTS).limit();
    double second = adaptive.vms.getLast().capacity.estimate(ODD, SLOTS).limit();
    assertThat(Math.max(first, second) / Math.min(first, second), is(lessThan(2.5)));
  }

  /** Without statements now and then, a server that was slow once would never be used again. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 6, 15, 19, 21, 23, 30})
  void slowServerIsNotStarved(long seed) {
    Behaviour slow = (server, atServer, now, random) -> slowIf(server, true, 20);
    Fleet adaptive = new Fleet(seed, true, 1, slow);
    Fleet fixed = new Fleet(seed, false, 1, slow);
    for (Fleet fleet : List.of(adaptive, fixed)) {
      fleet.run(2_000, 20);
      fleet.run(20_000, 20);
    }

    assertThat(adaptive.longestGapMillis, is(lessThan(2_000L)));
    // A fixed limit does not starve the server either, but sends more than probes to it.
    assertThat(adaptive.shareOfOdd(), is(lessThan(0.1)));
    assertThat(fixed.shareOfOdd(), is(greaterThan(0.15)));
  }

  /** A server that fails at once has few outstanding statements and would attract all load. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 6, 15, 19, 21, 23, 30})
  void avoidsServerThatFailsFast(long seed) {
    Behaviour grey =
        (server, atServer, now, random) ->
            server.equals(ODD) && random.nextDouble() < 0.7
                ? new Response(1, true)
                : new Response(SERVICE_MILLIS, false);
    Fleet adaptive = new Fleet(seed, true, 1, grey);
    Fleet fixed = new Fleet(seed, false, 1, grey);
    for (Fleet fleet : List.of(adaptive, fixed)) {
      fleet.run(2_000, 200);
      fleet.run(8_000, 200);
    }

    assertThat(adaptive.shareOfOdd(), is(lessThan(0.15)));
    assertThat(fixed.shareOfOdd(), is(greaterThan(0.3)));
  }

  /** The time to another region outweighs a slower server nearby, but not any slowness. */
  @Test
  void includesTimeToOtherRegion() {
    Vm vm = new Vm("vm1");
    BackendRegistry registry = new BackendRegistry();
    registry.addAnnouncement(announcement("bonds-1", "north"), 0, 0);
    registry.addAnnouncement(announcement("bonds-2", "south"), 0, 0);
    List<BackendServer> servers = List.copyOf(registry.group("bonds").servers().values());
    BackendServer near = registry.group("bonds").server("bonds-1").orElseThrow();
    BackendServer far = registry.group("bonds").server("bonds-2").orElseThrow();

    for (long now = 0; now < 2_000; now += 10) {
      vm.placement.recordAnswer(near, "read", null, 40, now);
      vm.placement.recordAnswer(far, "read", null, 70, now);
    }
    assertThat(vm.placement.choose(servers, "acme", 2_000).orElseThrow(), is(near));

    for (long now = 2_000; now < 4_000; now += 10) {
      vm.placement.recordAnswer(near, "read", null, 900, now);
      vm.placement.recordAnswer(far, "read", null, 70, now);
    }
    assertThat(vm.placement.choose(servers, "acme", 4_000).orElseThrow(), is(far));
  }

  /** Opening a connection occupies a slot, so equal servers are not equal without one. */
  @Test
  void prefersServerWithIdleConnection() {
    for (String warm : SERVERS) {
      Vm vm = new Vm("vm1", warm);
      BackendRegistry registry = new BackendRegistry();
      SERVERS.forEach(name -> registry.addAnnouncement(announcement(name, "north"), 0, 0));
      List<BackendServer> servers = List.copyOf(registry.group("bonds").servers().values());
      assertThat(vm.placement.choose(servers, "acme", 0).orElseThrow().name(), is(warm));
    }
  }

  /** A refusal for another reason than load must not change what is known of a server's speed. */
  @ParameterizedTest
  @EnumSource(ServerFailure.class)
  void recordsOnlyFailuresThatShowCapacity(ServerFailure failure) {
    Vm vm = new Vm("vm1");
    BackendRegistry registry = new BackendRegistry();
    registry.addAnnouncement(announcement(ODD, "north"), 0, 0);
    BackendServer server = registry.group("bonds").server(ODD).orElseThrow();

    vm.placement.recordAnswer(server, "read", failure, 1, 1_000);

    ServerCapacity.Estimate estimate = vm.capacity.estimate(ODD, SLOTS);
    boolean reducesLimit = failure == ServerFailure.BUSY || failure == ServerFailure.TIMED_OUT;
    boolean serverFault = failure.mayHaveRun();
    assertThat(estimate.limit() < SLOTS, is(reducesLimit));
    assertThat(estimate.successRate() < 1, is(serverFault));
    assertThat(estimate.slowness(), is(1.0));
  }

  /** The placement must not bring back servers that the rules of the router left out. */
  @Test
  void routerAppliesItsRulesBeforeCapacity() {
    BackendRegistry registry = new BackendRegistry();
    SERVERS.forEach(name -> registry.addAnnouncement(announcement(name, "north"), 0, 1_000));
    Vm vm = new Vm("vm1");
    SessionRouter router =
        new SessionRouter(
            "vm1",
            "domain-x",
            "north",
            vm,
            new ReplicaLagTracker(),
            new ServerBackoff(new Random(1)),
            WriteFencing.BY_SERVERS,
            vm.placement);
    PositionHistory history = new PositionHistory();
    history.add(new PositionSample(2, new LogPosition(3, 70), 900));
    for (long now = 1_000; now < 2_000; now += 10) {
      for (BackendServer server : registry.group("bonds").servers().values()) {
        long millis = server.name().equals("bonds-2") ? 10 : 50;
        vm.placement.recordAnswer(server, "read", null, millis, now);
      }
    }

    assertThat(routeRead(router, registry, history, Set.of()), is("bonds-2"));
    assertThat(routeRead(router, registry, history, Set.of("bonds-2", "bonds-3")), is("bonds-1"));
  }

  private static String routeRead(
      SessionRouter router, BackendRegistry registry, PositionHistory history, Set<String> tried) {
    SessionDemand demand =
        new SessionDemand("acme", false, new Freshness.AnyAge(), LogPosition.ZERO, tried);
    SessionTarget target =
        router.route(
            demand,
            registry.group("bonds"),
            new DatabaseState(2, "bonds-1", List.of(new TermStart(2, 0))),
            new LeaseStatus(0),
            history,
            Evacuations.NONE,
            2_000);
    return ((SessionTarget.RunOn) target).server().name();
  }

  private static Response slowIf(String server, boolean slow, double factor) {
    return new Response(SERVICE_MILLIS * (slow && server.equals(ODD) ? factor : 1), false);
  }

  private static Response slowBeyondHalf(String server, int atServer, long now, Random random) {
    return slowIf(server, atServer > SLOTS / 2, 4);
  }

  private static Announcement announcement(String server, String region) {
    return new Announcement(
        "bonds",
        server,
        server + ":1",
        "domain-" + server,
        region,
        ServerRole.REPLICA,
        LogPosition.ZERO,
        0,
        SLOTS,
        70,
        false,
        1,
        1);
  }
}
