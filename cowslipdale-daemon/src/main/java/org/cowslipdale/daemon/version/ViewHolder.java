package org.cowslipdale.daemon.version;

import java.util.concurrent.atomic.AtomicReference;
import org.cowslipdale.core.routing.LeaseStatus;
import org.cowslipdale.core.view.View;

/** Publishes the current view to the threads that serve requests, by replacing a reference. */
public final class ViewHolder {

  private final AtomicReference<CurrentView> current;

  /**
   * Creates a holder with an empty view and no lease.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public ViewHolder(long now) {
    this.current = new AtomicReference<>(new CurrentView(View.EMPTY, new LeaseStatus(now), 1));
  }

  /** Returns the current view and lease. */
  public CurrentView get() {
    return current.get();
  }

  /**
   * Replaces the view and the lease; older views and shorter leases are ignored.
   *
   * @param view the view
   * @param leaseEndMillis when the lease ends, on the VM's monotonic clock
   * @param callerVms how many VMs share the connections of servers, or 0 if that is not known
   */
  public void publish(View view, long leaseEndMillis, int callerVms) {
    current.updateAndGet(
        before ->
            new CurrentView(
                view.version() >= before.view().version() ? view : before.view(),
                new LeaseStatus(Math.max(leaseEndMillis, before.lease().endMillis())),
                callerVms > 0 ? callerVms : before.callerVms()));
  }
}
