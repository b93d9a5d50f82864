package org.cowslipdale.daemon.process;

import java.util.concurrent.atomic.AtomicBoolean;
import org.cowslipdale.core.control.LeaseTimings;
import org.cowslipdale.daemon.version.CurrentView;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;

/** Decides whether this VM reports itself ready for new connections to the load balancer. */
final class Readiness {

  private final ViewHolder views;
  private final VmClock clock;
  private final boolean requiresKeys;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final AtomicBoolean drained = new AtomicBoolean();

  /**
   * Creates the readiness of a VM.
   *
   * @param views the current view
   * @param clock the clocks of the VM
   * @param requiresKeys whether no caller can be served without keys; such a VM is not ready once
   *     the key grace period after its lease has passed
   */
  Readiness(ViewHolder views, VmClock clock, boolean requiresKeys) {
    this.views = views;
    this.clock = clock;
    this.requiresKeys = requiresKeys;
  }

  /**
   * Returns whether this VM can serve and is neither stopping nor drained.
   *
   * <p>A VM that serves open routes stays ready while it is disconnected.
   */
  boolean isReady() {
    return canServe() && !stopping.get() && !drained.get();
  }

  /**
   * Returns whether the VM has a configuration that it may act on.
   *
   * <p>If keys are required, the key grace period after the lease must not have passed, and the
   * configuration must have a session route.
   */
  boolean canServe() {
    CurrentView current = views.get();
    if (current.view().version() == 0) {
      return false;
    }
    long expiredForMillis = current.lease().expiredForMillis(clock.millis());
    return !requiresKeys
        || (expiredForMillis <= LeaseTimings.KEY_GRACE_MILLIS
            && !current.view().configuration().sessionRoutes().isEmpty());
  }

  void markStopping() {
    stopping.set(true);
  }

  void setDrained(boolean value) {
    drained.set(value);
  }
}
