package org.cowslipdale.core.failover;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.failover.FailoverAction.AssignRole;
import org.cowslipdale.core.failover.FailoverAction.Propose;
import org.cowslipdale.core.failover.FailoverAction.QueryPosition;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.junit.jupiter.api.Test;

class FailoverCoordinatorTests {

  private static final Set<String> LEASE_HOLDERS = Set.of("vm1", "vm2", "vm3");

  private final FailoverCoordinator coordinator = new FailoverCoordinator();
  private final BackendRegistry registry = new BackendRegistry();
  private View view = viewWithThreeVms();
  private boolean inForce = true;
  private long now = 100_000;
  private int sequence;

  @Test
  void promotesMostAdvancedServerOnceTermIsInForce() {
    announceReplicas();
    inForce = false;
    applyProposal(single(tick()));
    assertThat(view.database("bonds").term(), is(1L));
    assertThat(tick(), empty());
    assertThat(tick(), empty());

    inForce = true;
    assertThat(tick(), hasSize(3));
    reportPosition("bonds-1", 0, 10);
    reportPosition("bonds-2", 0, 30);
    assertThat(tick(), empty());
    reportPosition("bonds-3", 0, 20);

    AssignRole order = (AssignRole) single(tick());
    assertThat(order.server(), is("bonds-2"));
    assertThat(order.primary() == null, is(true));
    applyProposal(coordinator.confirmPromotion("bonds", 1, "bonds-2", 30, now).orElseThrow());
    assertThat(view.database("bonds").primary(), is("bonds-2"));
  }

  @Test
  void doesNotPromoteWithoutMajorityOfPositions() {
    announceReplicas();
    applyProposal(single(tick()));
    tick();
    reportPosition("bonds-3", 0, 99);

    for (int i = 0; i < 20; i++) {
      now += 25;
      assertThat(tick(), empty());
    }
  }

  @Test
  void beginsTermWhenMostLeasedProbersCannotReachPrimary() {
    completeFirstTerm("bonds-1");
    coordinator.updateReports("vm1", List.of(new PrimaryTerm("bonds", 1)));
    assertThat(withoutQueries(tick()), empty());

    coordinator.updateReports("vm2", List.of(new PrimaryTerm("bonds", 1)));

    assertThat(single(tick()), instanceOf(Propose.class));
  }

  @Test
  void ignoresReportsOfOlderTerm() {
    completeFirstTerm("bonds-1");
    coordinator.updateReports("vm1", List.of(new PrimaryTerm("bonds", 0)));
    coordinator.updateReports("vm2", List.of(new PrimaryTerm("bonds", 0)));

    assertThat(withoutQueries(tick()), empty());
  }

  @Test
  void beginsAnotherTermWhenPromotionIsNotConfirmed() {
    announceReplicas();
    applyProposal(single(tick()));
    tick();
    reportPosition("bonds-1", 0, 10);
    reportPosition("bonds-2", 0, 10);
    reportPosition("bonds-3", 0, 10);
    assertThat(single(tick()), instanceOf(AssignRole.class));

    now += 1_300;
    announceReplicas();
    tick();
    applyProposal(single(tick()));

    assertThat(view.database("bonds").term(), is(2L));
    assertThat(coordinator.confirmPromotion("bonds", 1, "bonds-1", 10, now), is(Optional.empty()));
  }

  @Test
  void newLeaderDoesNotContinueTermOfPreviousLeader() {
    announceReplicas();
    applyProposal(single(tick()));

    FailoverCoordinator next = new FailoverCoordinator();
    List<FailoverAction> actions = next.tick(view, registry, LEASE_HOLDERS, version -> true, now);

    assertThat(single(actions), is(new Propose(new ViewCommand.BeginTerm("bonds", 2))));
  }

  @Test
  void beginsTermWhenPrimaryIsLeaving() {
    completeFirstTerm("bonds-1");
    announce("bonds-1", ServerRole.PRIMARY, 1, true);

    assertThat(single(withoutQueries(tick())), instanceOf(Propose.class));
  }

  @Test
  void assignsReplicaRoleToReplacedPrimary() {
    completeFirstTerm("bonds-1");
    announce("bonds-3", ServerRole.PRIMARY, 0, false);

    AssignRole order = (AssignRole) single(tick());

    assertThat(order.server(), is("bonds-3"));
    assertThat(order.primary(), is("address-of-bonds-1"));
  }

  private void completeFirstTerm(String primary) {
    for (ViewCommand command :
        List.of(
            new ViewCommand.BeginTerm("bonds", 1),
            new ViewCommand.CompleteTerm("bonds", 1, primary, 0))) {
      view = view.apply(command).view();
    }
    for (String server : List.of("bonds-1", "bonds-2", "bonds-3")) {
      boolean leads = server.equals(primary);
      announce(server, leads ? ServerRole.PRIMARY : ServerRole.REPLICA, 1, false);
    }
  }

  private void announceReplicas() {
    for (String server : List.of("bonds-1", "bonds-2", "bonds-3")) {
      announce(server, ServerRole.REPLICA, 0, false);
    }
  }

  private void announce(String server, ServerRole role, long term, boolean leaving) {
    registry.addAnnouncement(
        new Announcement(
            "bonds",
            server,
            "address-of-" + server,
            "praha-a",
            "praha",
            role,
            new LogPosition(term, 0),
            0,
            5,
            30,
            leaving,
            1,
            ++sequence),
        0,
        now);
  }

  private List<FailoverAction> tick() {
    return coordinator.tick(view, registry, LEASE_HOLDERS, version -> inForce, now);
  }

  private static List<FailoverAction> withoutQueries(List<FailoverAction> actions) {
    List<FailoverAction> rest = new ArrayList<>(actions);
    rest.removeIf(action -> action instanceof QueryPosition);
    return rest;
  }

  private static FailoverAction single(List<FailoverAction> actions) {
    assertThat(actions, hasSize(1));
    return actions.getFirst();
  }

  private void applyProposal(FailoverAction action) {
    view = view.apply(((Propose) action).command()).view();
    if (((Propose) action).command() instanceof ViewCommand.BeginTerm) {
      coordinator.recordTermVersion("bonds", view.version());
      tickWithoutActions();
    }
  }

  private void tickWithoutActions() {
    assertThat(tick(), empty());
  }

  private void reportPosition(String server, long term, long offset) {
    long asked = view.database("bonds").term();
    coordinator.recordPosition("bonds", asked, server, new LogPosition(term, offset));
  }

  private static View viewWithThreeVms() {
    Configuration configuration =
        new Configuration(Map.of(), Map.of(), Map.of(), Map.of("bonds", new Database("bonds", 3)));
    View view =
        View.EMPTY
            .apply(
                new ViewCommand.ChangeConfiguration(
                    "r", 0, 0, Configuration.EMPTY.changeTo(configuration)))
            .view();
    for (String vm : LEASE_HOLDERS) {
      VmRecord member = new VmRecord(vm, "d-" + vm, "praha", "127.0.0.1:1", 0, 0, true);
      view = view.apply(new ViewCommand.RegisterVm(member, 0)).view();
    }
    return view;
  }
}
