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

  private static final long ELECTED = 10_000;
  private static final long BOUND = LeaseTimings.LEASE_BOUND_MILLIS;

  /** A time on the clock of a VM. */
  private static final long SENT = 7_000;

  private final LeaseTable table = new LeaseTable(ELECTED);
  private final View view = viewOf("vm1", "vm2");

  @Test
  void waitsOutTheLeasesThatAFormerLeaderMayHaveGranted() {
    assertThat(table.waitingFor(1, view, 0, ELECTED + BOUND - 1), contains("vm1", "vm2"));
    assertThat(table.waitingFor(1, view, 0, ELECTED + BOUND), empty());
  }

  @Test
  void isInForceOnceEveryVmHasConfirmed() {
    table.grant("vm1", 5, SENT, ELECTED + 100);
    table.grant("vm2", 4, SENT, ELECTED + 100);
    assertThat(table.waitingFor(5, view, 0, ELECTED + 200), contains("vm2"));

    table.grant("vm2", 5, SENT, ELECTED + 300);
    assertThat(table.waitingFor(5, view, 0, ELECTED + 301), empty());
  }

  @Test
  void isInForceOnceTheLeaseOfASilentVmHasEnded() {
    table.grant("vm1", 5, SENT, ELECTED + 100);
    table.grant("vm2", 4, SENT, ELECTED + 100);

    assertThat(table.waitingFor(5, view, 0, ELECTED + 100 + BOUND - 1), contains("vm2"));
    assertThat(table.waitingFor(5, view, 0, ELECTED + 100 + BOUND), empty());
  }

  @Test
  void waitsForTheKeyGraceWhenKeysAreMeant() {
    table.grant("vm1", 4, SENT, ELECTED + 100);
    table.grant("vm2", 5, SENT, ELECTED + 100);
    long grace = LeaseTimings.KEY_GRACE_BOUND_MILLIS;

    assertThat(
        table.waitingFor(5, view, grace, ELECTED + 100 + BOUND + grace - 1), contains("vm1"));
    assertThat(table.waitingFor(5, view, grace, ELECTED + 100 + BOUND + grace), empty());
  }

  @Test
  void keepsTheShareOfAVmThatIsOverdueUntilItServesNothingMore() {
    long granted = ELECTED + 100;
    table.grant("vm1", 5, SENT, granted);

    assertThat(table.mayServeWithoutLease("vm1", granted + 600), is(false));
    assertThat(table.mayServeWithoutLease("vm1", granted + 1_500), is(true));
    long end = granted + BOUND + LeaseTimings.KEY_GRACE_BOUND_MILLIS;
    assertThat(table.mayServeWithoutLease("vm1", end - 1), is(true));
    assertThat(table.mayServeWithoutLease("vm1", end), is(false));
  }

  @Test
  void doesNotWaitForAVmThatGaveItsLeaseBack() {
    table.grant("vm1", 5, SENT, ELECTED + 100);
    table.grant("vm2", 4, SENT, ELECTED + 100);
    table.release("vm2", SENT + 100, ELECTED + 200);

    assertThat(
        table.waitingFor(5, view, LeaseTimings.KEY_GRACE_BOUND_MILLIS, ELECTED + 201), empty());
  }

  @Test
  void ignoresAReturnThatWasSentBeforeTheLeaseWasAskedFor() {
    table.grant("vm1", 5, SENT, ELECTED + 100);
    table.grant("vm2", 4, SENT, ELECTED + 100);
    table.release("vm2", SENT - 1, ELECTED + 200);

    assertThat(table.waitingFor(5, view, 0, ELECTED + 201), contains("vm2"));
  }

  @Test
  void waitsForARemovedVmWhoseLeaseIsStillValid() {
    table.grant("vm1", 5, SENT, ELECTED + 100);
    table.grant("vm2", 4, SENT, ELECTED + 100);
    View removed = view.apply(new ViewCommand.RemoveVm("r", 0, "vm2")).view();

    assertThat(removed.activeVms().size(), is(1));
    assertThat(table.waitingFor(5, removed, 0, ELECTED + 200), contains("vm2"));
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
