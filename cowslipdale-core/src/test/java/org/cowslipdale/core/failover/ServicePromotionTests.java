package org.cowslipdale.core.failover;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.failover.FailoverAction.Promote;
import org.cowslipdale.core.failover.FailoverAction.Propose;
import org.cowslipdale.core.failover.FailoverAction.QueryPosition;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests changes of primary that an outside service carries out. */
class ServicePromotionTests {

  private static final Set<String> LEASED = Set.of("vm1", "vm2", "vm3");

  private final FailoverCoordinator coordinator =
      new FailoverCoordinator(new Promotion.ByService());
  private final BackendRegistry registry = new BackendRegistry(60_000);
  private View view = view();
  private long now = 100_000;
  private int sequence;

  @BeforeEach
  void adoptThePresentPrimary() {
    announce("bonds-1", ServerRole.PRIMARY, false);
    announce("bonds-2", ServerRole.REPLICA, false);
    announce("bonds-3", ServerRole.REPLICA, false);
    for (int i = 0; i < 4; i++) {
      tick().forEach(this::propose);
    }
  }

  @Test
  void aGroupKeepsThePrimaryThatItHasWithoutACallOfTheService() {
    assertThat(view.database("bonds").primary(), is("bonds-1"));
    assertThat(tick(), empty());
  }

  @Test
  void aPrimaryIsReplacedWhenMoreVmsFailToReachItThanGetAnswers() {
    ProbeReport primary = new ProbeReport("bonds", 1);
    coordinator.report("vm1", List.of(primary), List.of());
    coordinator.report("vm2", List.of(), List.of(primary));
    assertThat(tick(), empty());

    coordinator.report("vm3", List.of(primary), List.of());
    propose(single(tick()));
    assertThat(view.database("bonds").term(), is(2L));
  }

  /** After a restart of the fleet the announcements of the servers arrive one after the other. */
  @Test
  void aNewLeaderWaitsToHearOfThePrimary() {
    FailoverCoordinator next = new FailoverCoordinator(new Promotion.ByService());
    BackendRegistry heard = new BackendRegistry(60_000);
    heard.addAnnouncement(announcement("bonds-2", ServerRole.REPLICA, false), 0, now);

    assertThat(next.tick(view, heard, LEASED, version -> true, now), empty());
    assertThat(next.tick(view, heard, LEASED, version -> true, now + 3_000), empty());
    assertThat(next.tick(view, heard, LEASED, version -> true, now + 3_500), hasSize(1));
  }

  /** Replicas may announce themselves first when a fleet starts for the first time. */
  @Test
  void aGroupThatNeverHadAPrimaryInTheViewWaitsForOneToAnnounceItself() {
    FailoverCoordinator first = new FailoverCoordinator(new Promotion.ByService());
    BackendRegistry heard = new BackendRegistry(60_000);
    heard.addAnnouncement(announcement("bonds-2", ServerRole.REPLICA, false), 0, now);
    View declared = view();

    assertThat(first.tick(declared, heard, LEASED, version -> true, now), empty());
    assertThat(first.tick(declared, heard, LEASED, version -> true, now + 3_000), empty());
    assertThat(first.tick(declared, heard, LEASED, version -> true, now + 3_500), hasSize(1));
  }

  @Test
  void aGroupThatNeverHadAPrimaryInTheViewTakesTheOneThatAnnouncesItself() {
    FailoverCoordinator first = new FailoverCoordinator(new Promotion.ByService());
    BackendRegistry heard = new BackendRegistry(60_000);
    heard.addAnnouncement(announcement("bonds-1", ServerRole.PRIMARY, false), 0, now);

    assertThat(first.tick(view(), heard, LEASED, version -> true, now), hasSize(1));
  }

  @Test
  void theHighestReplicaIsPromotedWithTheFenceOfItsTerm() {
    Promote promote = suspectAndChoose();

    assertThat(promote.server(), is("bonds-3"));
    assertThat(promote.fence(), is(view.database("bonds").fence()));
  }

  @Test
  void theTermIsCompletedOnlyWhenTheServiceAcceptedAndTheServerLeads() {
    Promote promote = suspectAndChoose();
    announce("bonds-3", ServerRole.PRIMARY, false);
    assertThat(tick(), empty());

    coordinator.promotionAnswered(promote, true, now);
    propose(single(tick()));
    assertThat(view.database("bonds").primary(), is("bonds-3"));
  }

  /**
   * A server that was primary, was cut off and is chosen again has told of its earlier term only.
   */
  @Test
  void anAnnouncementFromBeforeThePromotionDoesNotShowThatTheServerLeads() {
    announce("bonds-3", ServerRole.PRIMARY, false);
    now += 100;
    Promote promote = suspectAndChoose();
    coordinator.promotionAnswered(promote, true, now);
    assertThat(tick(), empty());

    now += 1_000;
    announce("bonds-3", ServerRole.PRIMARY, false);
    propose(single(tick()));
    assertThat(view.database("bonds").primary(), is("bonds-3"));
  }

  @Test
  void aCallWithoutAnAnswerIsRepeatedWithTheSameFence() {
    Promote promote = suspectAndChoose();

    now += 2_000;

    assertThat(single(tick()), is(promote));
  }

  @Test
  void aRefusalLeadsToAnotherServerWithAHigherFence() {
    Promote refused = suspectAndChoose();
    coordinator.promotionAnswered(refused, false, now);
    propose(single(tick()));
    tick();
    List<FailoverAction> queries = tick();
    assertThat(queries, hasSize(3));
    answer("bonds-2", 10);
    answer("bonds-3", 20);
    now += 400;
    Promote next = promoteWithin(2_000);

    assertThat(next.server(), is("bonds-2"));
    assertThat(next.fence(), greaterThan(refused.fence()));
  }

  @Test
  void replicasOfAPrimaryThatLeavesGetTimeToReachIt() {
    announce("bonds-1", ServerRole.PRIMARY, true);
    propose(single(tick()));
    tick();
    List<FailoverAction> queries = tick();
    assertThat(queries, hasSize(3));
    answer("bonds-1", 30);
    answer("bonds-2", 10);
    answer("bonds-3", 20);
    assertThat(tick().stream().allMatch(QueryPosition.class::isInstance), is(true));

    answer("bonds-2", 30);
    Promote promote = promoteWithin(100);

    assertThat(promote.server(), is("bonds-2"));
  }

  /** The service may carry out a call without an answer later, unless it has seen a newer fence. */
  @Test
  void aPrimaryHeardOfAfterACallWithoutAnAnswerIsNotAdoptedWithoutACall() {
    FailoverCoordinator first = new FailoverCoordinator(new Promotion.ByService());
    BackendRegistry heard = new BackendRegistry(60_000);
    heard.addAnnouncement(announcement("bonds-2", ServerRole.REPLICA, false), 0, now);
    View current = view();
    List<Promote> calls = new ArrayList<>();
    long end = now + 20_000;
    while (now < end && current.database("bonds").primary() == null) {
      now += 25;
      for (FailoverAction action : first.tick(current, heard, LEASED, version -> true, now)) {
        switch (action) {
          case Propose propose -> {
            current = current.apply(propose.command()).view();
            first.termChanged("bonds", current.version());
          }
          case QueryPosition query ->
              first.position("bonds", query.term(), query.server(), new LogPosition(3, 10));
          case Promote promote -> {
            calls.add(promote);
            heard.addAnnouncement(announcement("bonds-1", ServerRole.PRIMARY, false), 0, now);
            if (promote.server().equals("bonds-1")) {
              first.promotionAnswered(promote, true, now);
            }
          }
          default -> throw new AssertionError("unexpected: " + action);
        }
      }
    }

    assertThat(current.database("bonds").primary(), is("bonds-1"));
    assertThat(calls.getFirst().server(), is("bonds-2"));
    assertThat(calls.getLast().server(), is("bonds-1"));
  }

  private Promote suspectAndChoose() {
    ProbeReport primary = new ProbeReport("bonds", 1);
    coordinator.report("vm1", List.of(primary), List.of());
    coordinator.report("vm2", List.of(primary), List.of());
    propose(single(tick()));
    tick();
    List<FailoverAction> queries = tick();
    assertThat(queries, hasSize(2));
    answer("bonds-2", 10);
    answer("bonds-3", 20);
    return promoteWithin(100);
  }

  /** Ticks until a promotion is asked for; other actions are left out. */
  private Promote promoteWithin(long millis) {
    long end = now + millis;
    while (now <= end) {
      for (FailoverAction action : tick()) {
        if (action instanceof Promote promote) {
          return promote;
        }
      }
      now += 25;
    }
    throw new AssertionError("no promotion within " + millis + " ms");
  }

  private List<FailoverAction> tick() {
    return coordinator.tick(view, registry, LEASED, version -> true, now);
  }

  private static FailoverAction single(List<FailoverAction> actions) {
    assertThat(actions, hasSize(1));
    return actions.getFirst();
  }

  private void propose(FailoverAction action) {
    view = view.apply(((Propose) action).command()).view();
    coordinator.termChanged("bonds", view.version());
  }

  private void answer(String server, long offset) {
    long term = view.database("bonds").term();
    coordinator.position("bonds", term, server, new LogPosition(3, offset));
  }

  private void announce(String server, ServerRole role, boolean leaving) {
    registry.addAnnouncement(announcement(server, role, leaving), 0, now);
  }

  private Announcement announcement(String server, ServerRole role, boolean leaving) {
    return new Announcement(
        "bonds",
        server,
        "address-of-" + server,
        "praha-a",
        "praha",
        role,
        LogPosition.ZERO,
        0,
        5,
        30,
        leaving,
        1,
        ++sequence);
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
