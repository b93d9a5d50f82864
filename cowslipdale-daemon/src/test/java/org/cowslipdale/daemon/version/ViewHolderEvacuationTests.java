package org.cowslipdale.daemon.version;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.cowslipdale.core.control.LeaseTimings;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.junit.jupiter.api.Test;

/** Tests until when a primary in an evacuated failure domain gets work. */
class ViewHolderEvacuationTests {

  private static final long NOW = 100_000;

  private final View before =
      View.EMPTY
          .apply(
              new ViewCommand.RegisterVm(
                  new VmRecord("vm1", "zone-a", "north", "127.0.0.1:1", 0, 0, true), 0))
          .view();
  private final View evacuated = before.apply(new ViewCommand.BeginEvacuation("zone-a")).view();
  private final ViewHolder views = new ViewHolder(NOW - 60_000);

  @Test
  void primaryGetsWorkForGracePeriodAfterViewLearnedOfEvacuation() {
    views.publish(before, NOW - 300 + LeaseTimings.LEASE_MILLIS, 1, NOW - 300);
    views.publish(evacuated, NOW + LeaseTimings.LEASE_MILLIS, 1, NOW);

    assertThat(
        views.get().evacuations().primaryWorkUntilMillis(), is(Map.of("zone-a", NOW + 3_500)));
  }

  /** Guards against work for a server that was evacuated while this VM was cut off. */
  @Test
  void gracePeriodIsShorterAfterLossOfContact() {
    views.publish(before, NOW - 3_000 + LeaseTimings.LEASE_MILLIS, 1, NOW - 3_000);
    views.publish(evacuated, NOW + LeaseTimings.LEASE_MILLIS, 1, NOW);

    assertThat(
        views.get().evacuations().primaryWorkUntilMillis(), is(Map.of("zone-a", NOW + 1_500)));
  }

  /** Guards against work for a server that was evacuated long before this VM started. */
  @Test
  void noGracePeriodInFirstView() {
    views.publish(evacuated, NOW + LeaseTimings.LEASE_MILLIS, 1, NOW);

    assertThat(
        views.get().evacuations().primaryWorkUntilMillis(), is(Map.of("zone-a", Long.MIN_VALUE)));
  }
}
