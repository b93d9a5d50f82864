package org.cowslipdale.core.failover;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.failover.FailoverAction.RequestPromotion;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which server of a group with synchronous replicas is promoted by the external service, with
 * fake servers that carry out all actions. The primary is bonds-1. Commits up to {@link
 * #ACKNOWLEDGED} are acknowledged.
 */
class SynchronousReplicasTests {

  private static final Set<String> LEASE_HOLDERS = Set.of("vm1", "vm2", "vm3");
  private static final long TICK_MILLIS = 25;
  private static final long ANNOUNCEMENT_MILLIS = 1_000;
  private static final long ACKNOWLEDGED = 100;
  private static final long BEHIND = 60;

  /** How long the database waits for a server that holds every acknowledged commit. */
  private static final long LIMIT_MILLIS = 30_000;

  /** How long a server counts after its last announcement. */
  private static final long RETENTION_MILLIS = 60_000;

  /** The time for the detection, the steps of a change and the last reading of the positions. */
  private static final long CHANGE_MILLIS = 8_000;

  private final BackendRegistry registry = new BackendRegistry();
  private final FailoverCoordinator coordinator =
      new FailoverCoordinator(new PromotionMode.ByService());
  private final Map<String, FakeServer> servers = new HashMap<>();
  private final List<RequestPromotion> requests = new ArrayList<>();
  private View view = View.EMPTY;
  private long now = 100_000;
  private int sequence;

  /** A server as it appears to the leader. */
  private static final class FakeServer {

    private final String name;
    private final String address;
    private long offset;
    private ServerRole role = ServerRole.REPLICA;
    private boolean running = true;
    private boolean leaving;
    private boolean rejected;

    FakeServer(String name, String address, long offset) {
      this.name = name;
      this.address = address;
      this.offset = offset;
    }
  }

  /**
   * Guards against the loss of acknowledged commits: the only replica that has them is leaving, the
   * other one is behind, and the primary crashes. Without synchronous replicas nothing is promised
   * and a server that stays is promoted.
   */
  @ParameterizedTest
  @CsvSource({
    "0, 100, true, 60, false, bonds-3",
    "1, 100, true, 60, false, bonds-2",
    "1, 60, false, 100, true, bonds-3",
    "1, 100, true, 100, true, bonds-2",
    "1, 100, true, 100, false, bonds-3",
    "1, 100, false, 60, false, bonds-2",
    "2, 100, true, 100, false, bonds-3",
    "2, 100, false, 100, false, bonds-2",
    "3, 100, false, 100, false, bonds-2"
  })
  void promotesServerWithEveryAcknowledgedCommit(
      int synchronousReplicas,
      long offset2,
      boolean leaving2,
      long offset3,
      boolean leaving3,
      String expected) {
    start(synchronousReplicas, offset2, offset3);
    server("bonds-2").leaving = leaving2;
    server("bonds-3").leaving = leaving3;
    run(ANNOUNCEMENT_MILLIS);

    crash("bonds-1");
    run(CHANGE_MILLIS);

    assertThat(primary(), is(expected));
  }

  /**
   * Guards against the loss of acknowledged commits in a planned change: the primary leaves, and
   * the server that has its commits leaves too or is refused.
   */
  @ParameterizedTest
  @CsvSource({"true, false", "false, true"})
  void keepsLeavingPrimaryIfOtherServersLackCommits(boolean leaving, boolean rejected) {
    start(1, ACKNOWLEDGED, BEHIND);
    server("bonds-2").leaving = leaving;
    server("bonds-2").rejected = rejected;

    server("bonds-1").leaving = true;
    run(LIMIT_MILLIS + CHANGE_MILLIS);

    assertNothingIsLost();
    assertThat(primary(), not(is("bonds-3")));
    server("bonds-3").offset = ACKNOWLEDGED;
    run(CHANGE_MILLIS);
    assertThat(primary(), is("bonds-3"));
  }

  /** Guards against writes that are interrupted without pause while no successor has caught up. */
  @Test
  void replacesLeavingPrimaryAtIntervals() {
    start(1, ACKNOWLEDGED, BEHIND);
    server("bonds-2").leaving = true;
    crash("bonds-1");
    run(CHANGE_MILLIS);
    long term = view.database("bonds").term();

    run(20_000);

    assertThat(primary(), is("bonds-2"));
    assertThat(view.database("bonds").term() - term, lessThanOrEqualTo(8L));
    assertThat(view.database("bonds").term() - term, greaterThanOrEqualTo(3L));
  }

  /**
   * Guards against the loss of acknowledged commits while the only replica that has them is away:
   * the change waits until it, its successor or the previous primary returns.
   */
  @ParameterizedTest
  @ValueSource(strings = {"bonds-2", "bonds-1", "successor-of-bonds-2"})
  void waitsForServerThatHoldsTheCommits(String returning) {
    start(1, ACKNOWLEDGED, BEHIND);
    server("bonds-2").leaving = returning.startsWith("successor");
    run(ANNOUNCEMENT_MILLIS);
    crash("bonds-1");
    server("bonds-2").running = false;
    run(10_000);
    assertThat(requests, empty());

    FakeServer successor =
        new FakeServer("successor-of-bonds-2", server("bonds-2").address, ACKNOWLEDGED);
    servers.computeIfAbsent(returning, name -> successor).running = true;
    run(CHANGE_MILLIS);

    assertThat(primary(), is(returning));
  }

  /** With two synchronous replicas, nothing is acknowledged that one of them lacks. */
  @Test
  void promotesOneOfTwoSynchronousReplicasWhileTheOtherIsAway() {
    start(2, ACKNOWLEDGED, ACKNOWLEDGED);
    server("bonds-2").running = false;
    crash("bonds-1");
    run(CHANGE_MILLIS);

    assertThat(primary(), is("bonds-3"));
  }

  /** Guards against a database without a primary for good: no server with the commits returns. */
  @Test
  void promotesMostAdvancedServerIfNoServerWithTheCommitsReturns() {
    start(1, ACKNOWLEDGED, BEHIND);
    add(new FakeServer("bonds-4", "address-of-bonds-4", BEHIND - 10));
    server("bonds-3").leaving = true;
    run(ANNOUNCEMENT_MILLIS);

    server("bonds-2").running = false;
    crash("bonds-1");
    run(LIMIT_MILLIS);
    assertThat(requests, empty());
    run(CHANGE_MILLIS);

    assertThat(requests.getFirst().server(), is("bonds-3"));
    assertThat(requests.getFirst().mayLackCommits(), is(true));
  }

  /**
   * Guards against the loss of acknowledged commits during a rolling replacement: a group has one
   * server more than declared while the old one and the new one run.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void countsServersBeyondTheDeclaredNumber(boolean returns) {
    start(1, ACKNOWLEDGED, BEHIND);
    add(new FakeServer("bonds-4", "address-of-bonds-4", BEHIND));
    run(ANNOUNCEMENT_MILLIS);

    server("bonds-2").running = false;
    crash("bonds-1");
    run(10_000);
    assertThat(requests, empty());
    server("bonds-2").running = returns;
    run(LIMIT_MILLIS);

    assertThat(primary(), is(returns ? "bonds-2" : "bonds-3"));
  }

  /** Guards against a server that was replaced long ago and for which every change would wait. */
  @Test
  void forgetsServerThatWasReplacedLongAgo() {
    start(1, ACKNOWLEDGED, ACKNOWLEDGED);
    add(new FakeServer("bonds-4", "address-of-bonds-4", ACKNOWLEDGED));
    run(ANNOUNCEMENT_MILLIS);
    server("bonds-2").running = false;
    run(RETENTION_MILLIS + ANNOUNCEMENT_MILLIS);

    crash("bonds-1");
    run(CHANGE_MILLIS);

    assertThat(primary(), is("bonds-3"));
    assertNothingIsLost();
  }

  /**
   * The service rejects the server that holds the commits while it cannot run. Guards against the
   * promotion of another one meanwhile, and against waiting for good.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void waitsForRejectedServer(boolean returns) {
    start(1, ACKNOWLEDGED, BEHIND);
    server("bonds-2").rejected = true;
    crash("bonds-1");
    run(15_000);
    assertNothingIsLost();
    assertThat(primary(), is((String) null));

    server("bonds-2").rejected = !returns;
    run(LIMIT_MILLIS);

    assertThat(primary(), is(returns ? "bonds-2" : "bonds-3"));
  }

  /**
   * Guards against a database without a primary for good: no replica is left, at once or after one
   * has been promoted, and the previous primary returns alone.
   */
  @ParameterizedTest
  @CsvSource({"0, 0", "1, 0", "2, 0", "3, 0", "0, 500", "1, 500", "2, 500"})
  void promotesPreviousPrimaryThatReturnsAlone(int synchronousReplicas, long successorMillis) {
    start(synchronousReplicas, ACKNOWLEDGED, ACKNOWLEDGED);
    crash("bonds-1");
    run(successorMillis);
    server("bonds-2").running = false;
    server("bonds-3").running = false;
    run(10_000);

    server("bonds-1").running = true;
    run(LIMIT_MILLIS + CHANGE_MILLIS);

    assertThat(primary(), is("bonds-1"));
  }

  /** Without synchronous replicas, a change waits for nobody. */
  @Test
  void doesNotWaitWithoutSynchronousReplicas() {
    start(0, ACKNOWLEDGED, BEHIND);
    server("bonds-2").running = false;
    crash("bonds-1");
    run(5_000);

    assertThat(primary(), is("bonds-3"));
    assertThat(requests.getFirst().mayLackCommits(), is(false));
  }

  private void start(int synchronousReplicas, long offset2, long offset3) {
    Configuration configuration =
        new Configuration(
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of("bonds", new Database("bonds", 3, 0, synchronousReplicas)));
    view =
        view.apply(
                new ViewCommand.ChangeConfiguration(
                    "r", 0, 0, Configuration.EMPTY.changeTo(configuration)))
            .view();
    add(new FakeServer("bonds-1", "address-of-bonds-1", ACKNOWLEDGED)).role = ServerRole.PRIMARY;
    add(new FakeServer("bonds-2", "address-of-bonds-2", offset2));
    add(new FakeServer("bonds-3", "address-of-bonds-3", offset3));
    run(10_000);
    assertThat(primary(), is("bonds-1"));
    requests.clear();
  }

  private FakeServer add(FakeServer server) {
    servers.put(server.name, server);
    return server;
  }

  private FakeServer server(String name) {
    return servers.get(name);
  }

  private String primary() {
    return view.database("bonds").primary();
  }

  /** Stops a server; the VMs report that they cannot reach it if it is the primary. */
  private void crash(String name) {
    server(name).running = false;
    PrimaryTerm term = new PrimaryTerm("bonds", view.database("bonds").term());
    for (String vm : LEASE_HOLDERS) {
      coordinator.updateReports(vm, List.of(term), List.of());
    }
  }

  private void assertNothingIsLost() {
    List<Long> offsets = requests.stream().map(request -> server(request.server()).offset).toList();
    assertThat(offsets, everyItem(greaterThanOrEqualTo(ACKNOWLEDGED)));
  }

  private void run(long millis) {
    long end = now + millis;
    while (now < end) {
      if (now % ANNOUNCEMENT_MILLIS == 0) {
        servers.values().forEach(this::announce);
      }
      registry.removeExpired(now);
      coordinator.tick(view, registry, LEASE_HOLDERS, version -> true, now).forEach(this::carryOut);
      now += TICK_MILLIS;
    }
  }

  private void carryOut(FailoverAction action) {
    switch (action) {
      case FailoverAction.Propose propose -> {
        view = view.apply(propose.command()).view();
        coordinator.recordTermVersion("bonds", view.version());
      }
      case FailoverAction.QueryPosition query -> {
        FakeServer server = server(query.server());
        if (server.running) {
          coordinator.recordPosition(
              "bonds", query.term(), server.name, new LogPosition(1, server.offset));
        }
      }
      case RequestPromotion request -> {
        requests.add(request);
        FakeServer server = server(request.server());
        boolean accepted = server.running && !server.rejected;
        coordinator.handlePromotionReply(request, accepted, now);
        if (accepted) {
          servers.values().forEach(other -> other.role = ServerRole.REPLICA);
          server.role = ServerRole.PRIMARY;
          announce(server);
        }
      }
      case FailoverAction.AssignRole assignment ->
          throw new AssertionError("unexpected: " + assignment);
    }
  }

  private void announce(FakeServer server) {
    if (!server.running) {
      return;
    }
    registry.addAnnouncement(
        new Announcement(
            "bonds",
            server.name,
            server.address,
            "praha-a",
            "praha",
            server.role,
            LogPosition.ZERO,
            0,
            5,
            30,
            server.leaving,
            server.name.length(),
            ++sequence),
        0,
        now);
  }
}
