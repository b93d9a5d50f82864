package org.cowslipdale.core.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.junit.jupiter.api.Test;

class LeaseTableTests {

  private static final long ELECTED_MILLIS = 10_000;
  private static final long LEASE_BOUND_MILLIS = LeaseTimings.LEASE_BOUND_MILLIS;

  /** A time on the clock of a VM. */
  private static final long SENT_MILLIS = 7_000;

  private final LeaseTable table = new LeaseTable(ELECTED_MILLIS);
  private final View view = viewOf("vm1", "vm2");

  @Test
  void waitsForLeasesOfPreviousLeaderToExpire() {
    assertThat(table.waitingFor(1, view, 0, ELECTED_MILLIS + LEASE_BOUND_MILLIS - 1), contains("vm1", "vm2"));
    assertThat(table.waitingFor(1, view, 0, ELECTED_MILLIS + LEASE_BOUND_MILLIS), empty());
  }

  @Test
  void versionIsInForceOnceEveryVmHasConfirmed() {
    table.grant("vm1", 5, SENT_MILLIS, ELECTED_MILLIS + 100);
    table.grant("vm2", 4, SENT_MILLIS, ELECTED_MILLIS + 100);
    assertThat(table.waitingFor(5, view, 0, ELECTED_MILLIS + 200), contains("vm2"));

    table.grant("vm2", 5, SENT_MILLIS, ELECTED_MILLIS + 300);
    assertThat(table.waitingFor(5, view, 0, ELECTED_MILLIS + 301), empty());
  }

  @Test
  void versionIsInForceOnceLeaseOfUnresponsiveVmExpired() {
    table.grant("vm1", 5, SENT_MILLIS, ELECTED_MILLIS + 100);
    table.grant("vm2", 4, SENT_MILLIS, ELECTED_MILLIS + 100);

    assertThat(table.waitingFor(5, view, 0, ELECTED_MILLIS + 100 + LEASE_BOUND_MILLIS - 1), contains("vm2"));
    assertThat(table.waitingFor(5, view, 0, ELECTED_MILLIS + 100 + LEASE_BOUND_MILLIS), empty());
  }

  @Test
  void waitsForKeyGracePeriod() {
    table.grant("vm1", 4, SENT_MILLIS, ELECTED_MILLIS + 100);
    table.grant("vm2", 5, SENT_MILLIS, ELECTED_MILLIS + 100);
    long grace = LeaseTimings.KEY_GRACE_BOUND_MILLIS;

    assertThat(
        table.waitingFor(5, view, grace, ELECTED_MILLIS + 100 + LEASE_BOUND_MILLIS + grace - 1), contains("vm1"));
    assertThat(table.waitingFor(5, view, grace, ELECTED_MILLIS + 100 + LEASE_BOUND_MILLIS + grace), empty());
  }

  @Test
  void overdueVmMayServeUntilKeyGraceEnds() {
    long granted = ELECTED_MILLIS + 100;
    table.grant("vm1", 5, SENT_MILLIS, granted);

    assertThat(table.mayServeWithoutLease("vm1", granted + 600), is(false));
    assertThat(table.mayServeWithoutLease("vm1", granted + 1_500), is(true));
    long end = granted + LEASE_BOUND_MILLIS + LeaseTimings.KEY_GRACE_BOUND_MILLIS;
    assertThat(table.mayServeWithoutLease("vm1", end - 1), is(true));
    assertThat(table.mayServeWithoutLease("vm1", end), is(false));
  }

  @Test
  void doesNotWaitForReleasedLease() {
    table.grant("vm1", 5, SENT_MILLIS, ELECTED_MILLIS + 100);
    table.grant("vm2", 4, SENT_MILLIS, ELECTED_MILLIS + 100);
    table.release("vm2", SENT_MILLIS + 100, ELECTED_MILLIS + 200);

    assertThat(
        table.waitingFor(5, view, LeaseTimings.KEY_GRACE_BOUND_MILLIS, ELECTED_MILLIS + 201), empty());
  }

  @Test
  void ignoresReleaseOlderThanGrant() {
    table.grant("vm1", 5, SENT_MILLIS, ELECTED_MILLIS + 100);
    table.grant("vm2", 4, SENT_MILLIS, ELECTED_MILLIS + 100);
    table.release("vm2", SENT_MILLIS - 1, ELECTED_MILLIS + 200);

    assertThat(table.waitingFor(5, view, 0, ELECTED_MILLIS + 201), contains("vm2"));
  }

  @Test
  void waitsForRemovedVmWithValidLease() {
    table.grant("vm1", 5, SENT_MILLIS, ELECTED_MILLIS + 100);
    table.grant("vm2", 4, SENT_MILLIS, ELECTED_MILLIS + 100);
    View removed = view.apply(new ViewCommand.RemoveVm("r", 0, "vm2")).view();

    assertThat(removed.activeVms().size(), is(1));
    assertThat(table.waitingFor(5, removed, 0, ELECTED_MILLIS + 200), contains("vm2"));
  }

  private static View viewOf(String... names) {
    View view = View.EMPTY;
    for (String name : names) {
      VmRecord vm = new VmRecord(name, "praha-a", "praha", "127.0.0.1:1", 0, 0, true);
      view = view.apply(new ViewCommand.RegisterVm(vm, 0)).view();
    }
    return view;
  }
}
