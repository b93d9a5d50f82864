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
import org.cowslipdale.core.failover.FailoverAction.Propose;
import org.cowslipdale.core.failover.FailoverAction.QueryPosition;
import org.cowslipdale.core.failover.FailoverAction.RequestPromotion;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests of {@link FailoverCoordinator} with promotions by an external service. */
class ServicePromotionTests {

  private static final Set<String> LEASE_HOLDERS = Set.of("vm1", "vm2", "vm3");

  private final FailoverCoordinator coordinator =
      new FailoverCoordinator(new PromotionMode.ByService());
  private final BackendRegistry registry = new BackendRegistry(60_000);
  private View view = view();
  private long now = 100_000;
  private int sequence;

  @BeforeEach
  void adoptExistingPrimary() {
    announce("bonds-1", ServerRole.PRIMARY, false);
    announce("bonds-2", ServerRole.REPLICA, false);
    announce("bonds-3", ServerRole.REPLICA, false);
    for (int i = 0; i < 4; i++) {
      tick().forEach(this::applyProposal);
    }
  }

  @Test
  void adoptsExistingPrimaryWithoutServiceCall() {
    assertThat(view.database("bonds").primary(), is("bonds-1"));
    assertThat(tick(), empty());
  }

  @Test
  void beginsTermWhenFailuresOutnumberAnswers() {
    PrimaryTerm primary = new PrimaryTerm("bonds", 1);
    coordinator.updateReports("vm1", List.of(primary), List.of());
    coordinator.updateReports("vm2", List.of(), List.of(primary));
    assertThat(tick(), empty());

    coordinator.updateReports("vm3", List.of(primary), List.of());
    applyProposal(single(tick()));
    assertThat(view.database("bonds").term(), is(2L));
  }

  /**
   * After a restart of the fleet, the announcements of the servers arrive in turn. A replica may be
   * known before the primary, which must not be replaced for that.
   */
  @Test
  void newLeaderWaitsForAnnouncementOfPrimary() {
    FailoverCoordinator newLeader = new FailoverCoordinator(new PromotionMode.ByService());
    BackendRegistry newRegistry = new BackendRegistry(60_000);
    newRegistry.addAnnouncement(announcement("bonds-2", ServerRole.REPLICA, false), 0, now);

    assertThat(newLeader.tick(view, newRegistry, LEASE_HOLDERS, version -> true, now), empty());
    assertThat(
        newLeader.tick(view, newRegistry, LEASE_HOLDERS, version -> true, now + 3_000), empty());
    assertThat(
        newLeader.tick(view, newRegistry, LEASE_HOLDERS, version -> true, now + 3_500), hasSize(1));
  }

  /**
   * When a fleet starts for the first time, replicas may announce themselves before the primary.
   */
  @Test
  void newGroupWaitsForAnnouncementOfPrimary() {
    FailoverCoordinator newCoordinator = new FailoverCoordinator(new PromotionMode.ByService());
    BackendRegistry newRegistry = new BackendRegistry(60_000);
    newRegistry.addAnnouncement(announcement("bonds-2", ServerRole.REPLICA, false), 0, now);
    View initialView = view();

    assertThat(
        newCoordinator.tick(initialView, newRegistry, LEASE_HOLDERS, version -> true, now),
        empty());
    assertThat(
        newCoordinator.tick(initialView, newRegistry, LEASE_HOLDERS, version -> true, now + 3_000),
        empty());
    assertThat(
        newCoordinator.tick(initialView, newRegistry, LEASE_HOLDERS, version -> true, now + 3_500),
        hasSize(1));
  }

  @Test
  void newGroupBeginsTermForAnnouncedPrimary() {
    FailoverCoordinator newCoordinator = new FailoverCoordinator(new PromotionMode.ByService());
    BackendRegistry newRegistry = new BackendRegistry(60_000);
    newRegistry.addAnnouncement(announcement("bonds-1", ServerRole.PRIMARY, false), 0, now);

    assertThat(
        newCoordinator.tick(view(), newRegistry, LEASE_HOLDERS, version -> true, now), hasSize(1));
  }

  @Test
  void promotesMostAdvancedReplicaWithFenceOfTerm() {
    RequestPromotion promote = suspectPrimaryAndAwaitPromotion();

    assertThat(promote.server(), is("bonds-3"));
    assertThat(promote.fence(), is(view.database("bonds").fence()));
  }

  @Test
  void completesTermOnlyAfterAcceptanceAndAnnouncement() {
    RequestPromotion promote = suspectPrimaryAndAwaitPromotion();
    announce("bonds-3", ServerRole.PRIMARY, false);
    assertThat(tick(), empty());

    coordinator.handlePromotionReply(promote, true, now);
    applyProposal(single(tick()));
    assertThat(view.database("bonds").primary(), is("bonds-3"));
  }

  /**
   * If a previous primary that was disconnected is chosen again, its last announcement still refers
   * to the earlier term.
   */
  @Test
  void ignoresPrimaryAnnouncementOlderThanPromotion() {
    announce("bonds-3", ServerRole.PRIMARY, false);
    now += 100;
    RequestPromotion promote = suspectPrimaryAndAwaitPromotion();
    coordinator.handlePromotionReply(promote, true, now);
    assertThat(tick(), empty());

    now += 1_000;
    announce("bonds-3", ServerRole.PRIMARY, false);
    applyProposal(single(tick()));
    assertThat(view.database("bonds").primary(), is("bonds-3"));
  }

  @Test
  void retriesUnansweredCallWithSameFence() {
    RequestPromotion promote = suspectPrimaryAndAwaitPromotion();

    now += 2_000;

    assertThat(single(tick()), is(promote));
  }

  @Test
  void promotesAnotherServerWithHigherFenceAfterRejection() {
    RequestPromotion rejected = suspectPrimaryAndAwaitPromotion();
    coordinator.handlePromotionReply(rejected, false, now);
    applyProposal(single(tick()));
    tick();
    List<FailoverAction> queries = tick();
    assertThat(queries, hasSize(3));
    reportPosition("bonds-2", 10);
    reportPosition("bonds-3", 20);
    now += 400;
    RequestPromotion next = awaitPromotion(2_000);

    assertThat(next.server(), is("bonds-2"));
    assertThat(next.fence(), greaterThan(rejected.fence()));
  }

  /**
   * Guards against a database without a primary for good: the service rejects a server that is down
   * at that moment, and every remaining server may have been.
   */
  @Test
  void promotesServerAgainThatWasRejectedEarlier() {
    coordinator.handlePromotionReply(suspectPrimaryAndAwaitPromotion(), false, now);
    coordinator.handlePromotionReply(awaitNextPromotion(), false, now);

    RequestPromotion next = awaitNextPromotion();

    assertThat(next.server(), is("bonds-3"));
  }

  /** Ticks until another term is begun and a promotion is requested in it. */
  private RequestPromotion awaitNextPromotion() {
    applyProposal(single(tick()));
    for (int i = 0; i < 400; i++) {
      for (FailoverAction action : tick()) {
        if (action instanceof RequestPromotion promote) {
          return promote;
        }
      }
      reportPosition("bonds-2", 10);
      reportPosition("bonds-3", 20);
      now += 25;
    }
    throw new AssertionError("no promotion within 10 s");
  }

  @Test
  void waitsForReplicasToCatchUpWithLeavingPrimary() {
    announce("bonds-1", ServerRole.PRIMARY, true);
    applyProposal(single(tick()));
    tick();
    List<FailoverAction> queries = tick();
    assertThat(queries, hasSize(3));
    reportPosition("bonds-1", 30);
    reportPosition("bonds-2", 10);
    reportPosition("bonds-3", 20);
    assertThat(tick().stream().allMatch(QueryPosition.class::isInstance), is(true));

    reportPosition("bonds-2", 30);
    RequestPromotion promote = awaitPromotion(100);

    assertThat(promote.server(), is("bonds-2"));
  }

  /**
   * The service may carry out an unanswered call later, unless it has seen a newer fencing token. A
   * primary that announces itself after such a call must not be adopted without another call.
   */
  @Test
  void requestsPromotionOfPrimaryAnnouncedAfterUnansweredCall() {
    FailoverCoordinator newCoordinator = new FailoverCoordinator(new PromotionMode.ByService());
    BackendRegistry newRegistry = new BackendRegistry(60_000);
    newRegistry.addAnnouncement(announcement("bonds-2", ServerRole.REPLICA, false), 0, now);
    View current = view();
    List<RequestPromotion> calls = new ArrayList<>();
    long end = now + 20_000;
    while (now < end && current.database("bonds").primary() == null) {
      now += 25;
      for (FailoverAction action :
          newCoordinator.tick(current, newRegistry, LEASE_HOLDERS, version -> true, now)) {
        switch (action) {
          case Propose propose -> {
            current = current.apply(propose.command()).view();
            newCoordinator.recordTermVersion("bonds", current.version());
          }
          case QueryPosition query ->
              newCoordinator.recordPosition(
                  "bonds", query.term(), query.server(), new LogPosition(3, 10));
          case RequestPromotion promote -> {
            calls.add(promote);
            newRegistry.addAnnouncement(announcement("bonds-1", ServerRole.PRIMARY, false), 0, now);
            if (promote.server().equals("bonds-1")) {
              newCoordinator.handlePromotionReply(promote, true, now);
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

  private RequestPromotion suspectPrimaryAndAwaitPromotion() {
    PrimaryTerm primary = new PrimaryTerm("bonds", 1);
    coordinator.updateReports("vm1", List.of(primary), List.of());
    coordinator.updateReports("vm2", List.of(primary), List.of());
    applyProposal(single(tick()));
    tick();
    List<FailoverAction> queries = tick();
    assertThat(queries, hasSize(2));
    reportPosition("bonds-2", 10);
    reportPosition("bonds-3", 20);
    return awaitPromotion(100);
  }

  /** Ticks until a promotion is requested and returns it; ignores all other actions. */
  private RequestPromotion awaitPromotion(long millis) {
    long end = now + millis;
    while (now <= end) {
      for (FailoverAction action : tick()) {
        if (action instanceof RequestPromotion promote) {
          return promote;
        }
      }
      now += 25;
    }
    throw new AssertionError("no promotion within " + millis + " ms");
  }

  private List<FailoverAction> tick() {
    return coordinator.tick(view, registry, LEASE_HOLDERS, version -> true, now);
  }

  private static FailoverAction single(List<FailoverAction> actions) {
    assertThat(actions, hasSize(1));
    return actions.getFirst();
  }

  private void applyProposal(FailoverAction action) {
    view = view.apply(((Propose) action).command()).view();
    coordinator.recordTermVersion("bonds", view.version());
  }

  private void reportPosition(String server, long offset) {
    long term = view.database("bonds").term();
    coordinator.recordPosition("bonds", term, server, new LogPosition(3, offset));
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
