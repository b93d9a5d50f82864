package org.cowslipdale.daemon.version;

import java.util.concurrent.atomic.AtomicReference;
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
    this.current = new AtomicReference<>(new CurrentView(View.EMPTY, new LeaseStatus(now), 1));
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
   */
  public void publish(View view, long leaseEndMillis, int callerVms) {
    current.updateAndGet(
        previous ->
            new CurrentView(
                view.version() >= previous.view().version() ? view : previous.view(),
                new LeaseStatus(Math.max(leaseEndMillis, previous.lease().endMillis())),
                callerVms > 0 ? callerVms : previous.callerVms()));
  }
}
