package org.cowslipdale.core.failover;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerRole;
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
 * Tests the replacement of primaries in evacuated failure domains, with a fake group that carries
 * out all actions. The servers bonds-1 to bonds-3 are in zone-a to zone-c; bonds-1 is the primary.
 */
class EvacuationFailoverTests {

  private static final Set<String> LEASE_HOLDERS = Set.of("vm1", "vm2", "vm3");
  private static final long TICK_MILLIS = 25;

  private final BackendRegistry registry = new BackendRegistry(60_000);
  private final Map<String, Long> offsets = new HashMap<>();
  private final Map<String, String> regions = new HashMap<>();
  private final Set<String> leaving = new HashSet<>();
  private final Set<String> unreachable = new HashSet<>();
  private final Set<String> rejected = new HashSet<>();
  private final List<String> promotions = new ArrayList<>();
  private FailoverCoordinator coordinator = new FailoverCoordinator();
  private View view = view();
  private long now = 100_000;
  private int sequence;

  /** Guards against a primary that stays in an evacuated failure domain. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void replacesPrimaryInEvacuatedFailureDomain(boolean byService) {
    start(byService, 10, 10, 10);

    evacuate("zone-a");
    long begunMillis = now;
    run(3_000, true);

    assertThat(view.database("bonds").primary(), is("bonds-2"));
    assertThat(now - begunMillis, lessThanOrEqualTo(1_000L));
  }

  /** Guards against a change of primary where none is needed. */
  @ParameterizedTest
  @ValueSource(strings = {"zone-b", "zone-d"})
  void keepsPrimaryElsewhere(String failureDomain) {
    start(true, 10, 10, 10);
    long term = view.database("bonds").term();

    evacuate(failureDomain);
    run(10_000, false);

    assertThat(view.database("bonds").term(), is(term));
  }

  /** Guards against an interruption of writes that cannot help. */
  @Test
  void keepsPrimaryIfNoServerIsElsewhere() {
    start(true, 10, 10, 10);
    long term = view.database("bonds").term();
    leaving.add("bonds-3");
    announceAll();

    evacuate("zone-a");
    evacuate("zone-b");
    run(10_000, false);

    assertThat(view.database("bonds").term(), is(term));
  }

  /** Guards against a promotion that moves the primary to another evacuated failure domain. */
  @ParameterizedTest
  @CsvSource({"true, 10, 5", "true, 5, 5", "false, 10, 10"})
  void choosesServerElsewhereThoughAnEvacuatedOneIsMoreAdvanced(
      boolean byService, long evacuatedOffset, long otherOffset) {
    start(byService, 10, evacuatedOffset, otherOffset);
    evacuate("zone-b");

    leaving.add("bonds-1");
    announceAll();
    run(10_000, true);

    assertThat(view.database("bonds").primary(), is("bonds-3"));
  }

  /** Guards against the loss of the writes that only one of the servers elsewhere has. */
  @ParameterizedTest
  @CsvSource({
    "10, 10, south, north, bonds-3",
    "10, 10, north, south, bonds-2",
    "10, 9, south, north, bonds-2",
    "8, 9, north, south, bonds-3",
    "10, 10, south, south, bonds-2"
  })
  void prefersPositionThenRegion(
      long offset2, long offset3, String region2, String region3, String expected) {
    regions.put("bonds-2", region2);
    regions.put("bonds-3", region3);
    start(true, 10, offset2, offset3);

    evacuate("zone-a");
    run(5_000, true);

    assertThat(view.database("bonds").primary(), is(expected));
  }

  /**
   * Guards against the loss of an acknowledged write: of three servers two stored it, perhaps only
   * the two evacuated ones.
   */
  @Test
  void losesNoWriteThatMajorityStored() {
    start(false, 10, 10, 5);

    evacuate("zone-a");
    evacuate("zone-b");
    run(1_500, false);

    assertThat(view.database("bonds").primary(), is("bonds-1"));
    offsets.put("bonds-3", 10L);
    run(10_000, true);
    assertThat(view.database("bonds").primary(), is("bonds-3"));
  }

  /** Guards against terms that follow each other without pause if no server elsewhere answers. */
  @Test
  void retriesAtIntervalsIfServerElsewhereCannotBePromoted() {
    start(true, 10, 10, 10);
    unreachable.add("bonds-2");
    unreachable.add("bonds-3");
    long firstTerm = view.database("bonds").term();

    evacuate("zone-a");
    run(20_000, false);

    assertThat(view.database("bonds").term() - firstTerm, lessThanOrEqualTo(8L));
    assertThat(view.database("bonds").term() - firstTerm, greaterThanOrEqualTo(3L));
    unreachable.clear();
    run(10_000, false);
    assertThat(view.database("bonds").primary(), is("bonds-2"));
  }

  /** The service rejects a server that is down at that moment. */
  @Test
  void promotesOtherServerElsewhereAfterRejection() {
    start(true, 10, 10, 10);
    rejected.add("bonds-2");

    evacuate("zone-a");
    run(10_000, true);

    assertThat(view.database("bonds").primary(), is("bonds-3"));
    assertThat(promotions, is(List.of("bonds-2", "bonds-3")));
  }

  /** Guards against a database without a primary: an evacuated server is better than none. */
  @Test
  void promotesEvacuatedServerIfThereIsNoOther() {
    start(true, 10, 10, 10);
    evacuate("zone-b");
    evacuate("zone-c");
    rejected.add("bonds-1");
    unreachable.add("bonds-1");

    for (String vm : LEASE_HOLDERS) {
      coordinator.updateReports(vm, List.of(new PrimaryTerm("bonds", 1)), List.of());
    }
    run(10_000, true);

    assertThat(view.database("bonds").primary(), is("bonds-2"));
  }

  private void start(boolean byService, long offset1, long offset2, long offset3) {
    coordinator =
        byService
            ? new FailoverCoordinator(new PromotionMode.ByService())
            : new FailoverCoordinator();
    offsets.putAll(Map.of("bonds-1", 1_000L, "bonds-2", offset2, "bonds-3", offset3));
    announceAll();
    while (view.database("bonds").primary() == null) {
      run(TICK_MILLIS, true);
    }
    assertThat(view.database("bonds").primary(), is("bonds-1"));
    offsets.put("bonds-1", offset1);
    promotions.clear();
    run(5_000, false);
  }

  private void evacuate(String failureDomain) {
    view = view.apply(new ViewCommand.BeginEvacuation(failureDomain)).view();
  }

  /**
   * Runs the coordinator and carries out its actions.
   *
   * @param untilChanged whether to end as soon as a term was completed
   */
  private void run(long millis, boolean untilChanged) {
    long end = now + millis;
    long completed = view.database("bonds").completedTerm();
    while (now < end) {
      coordinator.tick(view, registry, LEASE_HOLDERS, version -> true, now).forEach(this::carryOut);
      if (untilChanged && view.database("bonds").completedTerm() > completed) {
        coordinator.tick(view, registry, LEASE_HOLDERS, version -> true, now);
        return;
      }
      now += TICK_MILLIS;
    }
  }

  private void carryOut(FailoverAction action) {
    switch (action) {
      case FailoverAction.Propose propose -> {
        view = view.apply(propose.command()).view();
        coordinator.recordTermVersion("bonds", view.version());
        announceAll();
      }
      case FailoverAction.QueryPosition query -> {
        if (!unreachable.contains(query.server())) {
          LogPosition position = new LogPosition(1, offsets.get(query.server()));
          coordinator.recordPosition("bonds", query.term(), query.server(), position);
        }
      }
      case FailoverAction.RequestPromotion promotion -> {
        promotions.add(promotion.server());
        boolean accepted = !rejected.contains(promotion.server());
        coordinator.handlePromotionReply(promotion, accepted, now);
        if (accepted) {
          announceWithPrimary(promotion.server());
        }
      }
      case FailoverAction.AssignRole assignment -> {
        if (assignment.primary() == null) {
          coordinator
              .confirmPromotion("bonds", assignment.term(), assignment.server(), 0, now)
              .ifPresent(this::carryOut);
        }
      }
    }
  }

  private void announceAll() {
    String primary = view.database("bonds").primary();
    announceWithPrimary(primary == null ? "bonds-1" : primary);
  }

  private void announceWithPrimary(String primary) {
    for (int i = 1; i <= 3; i++) {
      String server = "bonds-" + i;
      registry.addAnnouncement(
          new Announcement(
              "bonds",
              server,
              "address-of-" + server,
              "zone-" + "abc".charAt(i - 1),
              regions.getOrDefault(server, "north"),
              server.equals(primary) ? ServerRole.PRIMARY : ServerRole.REPLICA,
              new LogPosition(view.database("bonds").term(), 0),
              0,
              5,
              30,
              leaving.contains(server),
              1,
              ++sequence),
          0,
          now);
    }
  }

  private static View view() {
    Configuration configuration =
        new Configuration(Map.of(), Map.of(), Map.of(), Map.of("bonds", new Database("bonds", 3)));
    return View.EMPTY
        .apply(
            new ViewCommand.ChangeConfiguration(
                "r", 0, 0, Configuration.EMPTY.changeTo(configuration)))
        .view();
  }
}
