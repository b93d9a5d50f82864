package org.cowslipdale.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.ServerBackoff;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.result.Outcome;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Acknowledgement;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.DatabaseState.TermStart;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.WorkClass;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that both routers send nothing to evacuated servers. The primary is in zone-a, the replicas
 * are in zone-b, which is that of the VM, and in zone-c.
 */
class EvacuationRoutingTests {

  private static final long NOW = 100_000;
  private static final LeaseStatus LEASE = new LeaseStatus(Long.MAX_VALUE / 2);
  private static final Freshness BOUNDED_AGE = new Freshness.BoundedAge(1_500);

  private final BackendRegistry registry = new BackendRegistry();
  private final PositionHistory history = new PositionHistory();
  private final DatabaseState state = new DatabaseState(2, "bonds-1", List.of(new TermStart(2, 0)));
  private final SessionRouter sessionRouter =
      new SessionRouter(
          "vm1",
          "zone-b",
          "north",
          new NoLoad(),
          new ReplicaLagTracker(),
          new ServerBackoff(new Random(1)),
          WriteFencing.BY_SERVERS);
  private final Router router =
      new DefaultRouter("zone-b", "north", new RoutingPolicy.NearestReplica(), new NoLoad());

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
    announce("bonds-1", "zone-a", ServerRole.PRIMARY, false);
    announce("bonds-2", "zone-b", ServerRole.REPLICA, false);
    announce("bonds-3", "zone-c", ServerRole.REPLICA, false);
  }

  /** Guards against reads on an evacuated server that was the nearest one. */
  @ParameterizedTest
  @CsvSource({
    "zone-a, bonds-2",
    "zone-b, bonds-3",
    "zone-b zone-c, bonds-1",
    "zone-a zone-b, bonds-3",
    "zone-d, bonds-2"
  })
  void readsUseServersElsewhere(String domains, String server) {
    Evacuations evacuations = begunAt(NOW, domains.split(" ", -1));

    assertThat(routeSession(read(), evacuations, NOW), is(server));
    assertThat(routeDefault(readClass(), evacuations, NOW), is(server));
  }

  /**
   * Guards against a primary that gets work for longer than its successor may need, and against a
   * refusal of all writes while the successor is promoted.
   */
  @ParameterizedTest
  @CsvSource({"0, bonds-1", "3499, bonds-1", "3500, SERVER_EVACUATED", "60000, SERVER_EVACUATED"})
  void primaryGetsWorkDuringGracePeriod(long elapsedMillis, String expected) {
    Evacuations evacuations = begunAt(NOW, "zone-a");
    long now = NOW + elapsedMillis;

    assertThat(routeSession(write(), evacuations, now), is(expected));
    assertThat(routeDefault(writeClass(), evacuations, now), is(expected));
    assertThat(ResultCode.SERVER_EVACUATED.outcome(), is(Outcome.NOT_RUN));
  }

  /** Guards against reads that wait until their limit though every server is evacuated. */
  @ParameterizedTest
  @CsvSource({"100, bonds-1", "3500, SERVER_EVACUATED"})
  void readsAreRefusedIfEveryServerIsEvacuated(long elapsedMillis, String expected) {
    Evacuations evacuations = begunAt(NOW, "zone-a", "zone-b", "zone-c");

    assertThat(routeSession(read(), evacuations, NOW + elapsedMillis), is(expected));
    assertThat(routeDefault(readClass(), evacuations, NOW + elapsedMillis), is(expected));
  }

  /** A replica elsewhere that has just rejected a read may serve it a moment later. */
  @Test
  void readsWaitForServerElsewhere() {
    Evacuations evacuations = begunAt(NOW - 4_000, "zone-a", "zone-b");
    SessionDemand demand =
        new SessionDemand("acme", false, BOUNDED_AGE, LogPosition.ZERO, Set.of("bonds-3"));

    assertThat(routeSession(demand, evacuations, NOW), is("NO_PRIMARY"));
  }

  /** While a statement waits for a connection, its server may be evacuated. */
  @ParameterizedTest
  @CsvSource({
    "true, bonds-1, 3499, true",
    "true, bonds-1, 3500, false",
    "false, bonds-2, 0, false"
  })
  void confirmsNoEvacuatedServer(
      boolean write, String server, long elapsedMillis, boolean confirmed) {
    Evacuations evacuations = begunAt(NOW, "zone-a", "zone-b");
    long now = NOW + elapsedMillis;
    addSample(now);
    BackendServer chosen = registry.group("bonds").server(server).orElseThrow();

    Optional<SessionTarget.RunOn> target =
        sessionRouter.confirm(
            chosen, write ? write() : read(), state, LEASE, history, evacuations, now);

    assertThat(target.isPresent(), is(confirmed));
  }

  /**
   * Guards against a VM that sends work to a primary of a failure domain that was evacuated long
   * ago, because the VM has just been started or was cut off.
   */
  @ParameterizedTest
  @CsvSource({"0, 3500", "1000, 3500", "2000, 2500", "4500, 0", "9000, 0"})
  void graceEndsWithTheAgeOfTheViewBefore(long viewAgeMillis, long graceMillis) {
    Evacuations evacuations = Evacuations.NONE.update(Set.of("zone-a"), NOW - viewAgeMillis, NOW);
    BackendServer primary = registry.group("bonds").server("bonds-1").orElseThrow();

    assertThat(evacuations.permits(primary, true, NOW + graceMillis), is(false));
    if (graceMillis > 0) {
      assertThat(evacuations.permits(primary, true, NOW + graceMillis - 1), is(true));
    }
    Evacuations firstView = Evacuations.NONE.update(Set.of("zone-a"), Long.MIN_VALUE, NOW);
    assertThat(firstView.permits(primary, true, NOW), is(false));
  }

  /** Guards against a grace period that begins anew with every update of the view. */
  @Test
  void laterUpdatesExtendNoGracePeriod() {
    Evacuations first = begunAt(NOW, "zone-a");
    Evacuations second = first.update(Set.of("zone-a", "zone-b"), NOW + 3_000, NOW + 3_000);
    BackendServer primary = registry.group("bonds").server("bonds-1").orElseThrow();

    assertThat(first.update(Set.of("zone-a"), NOW + 3_000, NOW + 3_000), sameInstance(first));
    assertThat(second.permits(primary, true, NOW + 3_500), is(false));
  }

  @Test
  void serversAreCandidatesAgainOnceTheEvacuationEnded() {
    Evacuations ended = begunAt(NOW, "zone-b").update(Set.of(), NOW + 10, NOW + 10);

    assertThat(routeSession(read(), ended, NOW + 10), is("bonds-2"));
    assertThat(routeDefault(readClass(), ended, NOW + 10), is("bonds-2"));
  }

  private static Evacuations begunAt(long now, String... failureDomains) {
    return Evacuations.NONE.update(Set.of(failureDomains), now, now);
  }

  private String routeSession(SessionDemand demand, Evacuations evacuations, long now) {
    addSample(now);
    SessionTarget target =
        sessionRouter.route(
            demand, registry.group("bonds"), state, LEASE, history, evacuations, now);
    return switch (target) {
      case SessionTarget.RunOn run -> run.server().name();
      case SessionTarget.Wait wait -> wait.code().name();
      case SessionTarget.Refuse refuse -> refuse.code().name();
      case SessionTarget.NotBefore notBefore -> notBefore.code().name();
    };
  }

  private String routeDefault(WorkClass workClass, Evacuations evacuations, long now) {
    RouteDecision decision =
        router.route(
            new RouteRequest("bonds", workClass, LogPosition.ZERO, Set.of()),
            registry.group("bonds"),
            state,
            LEASE,
            evacuations,
            now);
    return switch (decision) {
      case RouteDecision.RunOn run -> run.server().name();
      case RouteDecision.Wait wait -> wait.code().name();
      case RouteDecision.Refuse refuse -> refuse.code().name();
    };
  }

  private void addSample(long now) {
    history.add(new PositionSample(2, new LogPosition(2, 10), now - 1_000));
  }

  private static SessionDemand write() {
    return new SessionDemand("acme", true, new Freshness.Latest(), LogPosition.ZERO, Set.of());
  }

  private static SessionDemand read() {
    return new SessionDemand("acme", false, BOUNDED_AGE, LogPosition.ZERO, Set.of());
  }

  private static WorkClass writeClass() {
    return new WorkClass(
        "w", false, true, new Freshness.Session(), Acknowledgement.PRIMARY, 1_000, 1_000);
  }

  private static WorkClass readClass() {
    return new WorkClass(
        "r", true, true, new Freshness.AnyAge(), Acknowledgement.PRIMARY, 1_000, 1_000);
  }

  private void announce(String server, String failureDomain, ServerRole role, boolean leaving) {
    registry.addAnnouncement(
        new Announcement(
            "bonds",
            server,
            server + ":1",
            failureDomain,
            "north",
            role,
            new LogPosition(2, 10),
            0,
            5,
            30,
            leaving,
            1,
            1),
        0,
        NOW);
  }
}
