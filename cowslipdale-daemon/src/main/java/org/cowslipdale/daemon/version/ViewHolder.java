package org.cowslipdale.daemon.version;

import java.util.concurrent.atomic.AtomicReference;
import org.cowslipdale.core.control.LeaseTimings;
import org.cowslipdale.core.routing.Evacuations;
import org.cowslipdale.core.routing.LeaseStatus;
import org.cowslipdale.core.view.View;

/** Publishes the current view to the threads that serve requests. This class is thread-safe. */
public final class ViewHolder {

  private final AtomicReference<CurrentView> current;

  /**
   * Creates a holder with an empty view and no lease.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public ViewHolder(long now) {
    this.current =
        new AtomicReference<>(
            new CurrentView(View.EMPTY, new LeaseStatus(now), 1, Evacuations.NONE));
  }

  /** Returns the current view and lease. */
  public CurrentView get() {
    return current.get();
  }

  /**
   * Replaces the view and the lease. A view older than the current one and a lease that ends
   * earlier than the current one are ignored.
   *
   * @param view the view
   * @param leaseEndMillis when the lease ends, in milliseconds of the VM's monotonic clock
   * @param callerVms the number of VMs that share the connections to servers, or 0 if it is not
   *     known
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public void publish(View view, long leaseEndMillis, int callerVms, long now) {
    current.updateAndGet(
        previous -> {
          View next = view.version() >= previous.view().version() ? view : previous.view();
          return new CurrentView(
              next,
              new LeaseStatus(Math.max(leaseEndMillis, previous.lease().endMillis())),
              callerVms > 0 ? callerVms : previous.callerVms(),
              previous
                  .evacuations()
                  .update(next.evacuatedDomains(), confirmedMillis(previous), now));
        });
  }

  /** Returns when the request for the latest lease was sent: its leader had no newer view then. */
  private static long confirmedMillis(CurrentView previous) {
    return previous.view().version() == View.EMPTY.version()
        ? Long.MIN_VALUE
        : previous.lease().endMillis() - LeaseTimings.LEASE_MILLIS;
  }
}
