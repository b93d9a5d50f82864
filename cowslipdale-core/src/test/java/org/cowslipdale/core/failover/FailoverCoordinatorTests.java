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
import org.cowslipdale.core.failover.FailoverAction.Order;
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

  private static final Set<String> LEASED = Set.of("vm1", "vm2", "vm3");

  private final FailoverCoordinator coordinator = new FailoverCoordinator();
  private final BackendRegistry registry = new BackendRegistry();
  private View view = viewWithThreeVms();
  private boolean inForce = true;
  private long now = 100_000;
  private int sequence;

  @Test
  void promotesTheHighestOfAMajorityOnceTheTermIsInForce() {
    announceAll();
    inForce = false;
    propose(single(tick()));
    assertThat(view.database("bonds").term(), is(1L));
    assertThat(tick(), empty());
    assertThat(tick(), empty());

    inForce = true;
    assertThat(tick(), hasSize(3));
    answer("bonds-1", 0, 10);
    answer("bonds-2", 0, 30);
    assertThat(tick(), empty());
    answer("bonds-3", 0, 20);

    Order order = (Order) single(tick());
    assertThat(order.server(), is("bonds-2"));
    assertThat(order.primary() == null, is(true));
    propose(coordinator.promoted("bonds", 1, "bonds-2", 30, now).orElseThrow());
    assertThat(view.database("bonds").primary(), is("bonds-2"));
  }

  @Test
  void promotesNobodyWithoutAMajorityOfPositions() {
    announceAll();
    propose(single(tick()));
    tick();
    answer("bonds-3", 0, 99);

    for (int i = 0; i < 20; i++) {
      now += 25;
      assertThat(tick(), empty());
    }
  }

  @Test
  void changesThePrimaryWhenMostProbersWithALeaseCannotReachIt() {
    appoint("bonds-1");
    coordinator.report("vm1", List.of(new ProbeReport("bonds", 1)));
    assertThat(ordersAndProposals(tick()), empty());

    coordinator.report("vm2", List.of(new ProbeReport("bonds", 1)));

    assertThat(single(tick()), instanceOf(Propose.class));
  }

  @Test
  void ignoresReportsAboutAnOlderTerm() {
    appoint("bonds-1");
    coordinator.report("vm1", List.of(new ProbeReport("bonds", 0)));
    coordinator.report("vm2", List.of(new ProbeReport("bonds", 0)));

    assertThat(ordersAndProposals(tick()), empty());
  }

  @Test
  void beginsAnotherTermWhenAPromotionIsNotConfirmed() {
    announceAll();
    propose(single(tick()));
    tick();
    answer("bonds-1", 0, 10);
    answer("bonds-2", 0, 10);
    answer("bonds-3", 0, 10);
    assertThat(single(tick()), instanceOf(Order.class));

    now += 1_300;
    announceAll();
    tick();
    propose(single(tick()));

    assertThat(view.database("bonds").term(), is(2L));
    assertThat(coordinator.promoted("bonds", 1, "bonds-1", 10, now), is(Optional.empty()));
  }

  @Test
  void aNewLeaderDoesNotContinueATermThatItDidNotBegin() {
    announceAll();
    propose(single(tick()));

    FailoverCoordinator next = new FailoverCoordinator();
    List<FailoverAction> actions = next.tick(view, registry, LEASED, version -> true, now);

    assertThat(single(actions), is(new Propose(new ViewCommand.BeginTerm("bonds", 2))));
  }

  @Test
  void movesAwayFromAPrimaryThatLeaves() {
    appoint("bonds-1");
    announce("bonds-1", ServerRole.PRIMARY, 1, true);

    assertThat(single(ordersAndProposals(tick())), instanceOf(Propose.class));
  }

  @Test
  void ordersAReplacedPrimaryToFollow() {
    appoint("bonds-1");
    announce("bonds-3", ServerRole.PRIMARY, 0, false);

    Order order = (Order) single(tick());

    assertThat(order.server(), is("bonds-3"));
    assertThat(order.primary(), is("address-of-bonds-1"));
  }

  private void appoint(String primary) {
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

  private void announceAll() {
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
    return coordinator.tick(view, registry, LEASED, version -> inForce, now);
  }

  private static List<FailoverAction> ordersAndProposals(List<FailoverAction> actions) {
    List<FailoverAction> rest = new ArrayList<>(actions);
    rest.removeIf(action -> action instanceof QueryPosition);
    return rest;
  }

  private static FailoverAction single(List<FailoverAction> actions) {
    assertThat(actions, hasSize(1));
    return actions.getFirst();
  }

  private void propose(FailoverAction action) {
    view = view.apply(((Propose) action).command()).view();
    if (((Propose) action).command() instanceof ViewCommand.BeginTerm) {
      coordinator.termChanged("bonds", view.version());
      tickOnce();
    }
  }

  private void tickOnce() {
    assertThat(tick(), empty());
  }

  private void answer(String server, long term, long offset) {
    long asked = view.database("bonds").term();
    coordinator.position("bonds", asked, server, new LogPosition(term, offset));
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
    for (String vm : LEASED) {
      VmRecord member = new VmRecord(vm, "d-" + vm, "praha", "127.0.0.1:1", 0, 0, true);
      view = view.apply(new ViewCommand.RegisterVm(member, 0)).view();
    }
    return view;
  }
}
