package org.cowslipdale.daemon.process;

import java.util.concurrent.atomic.AtomicBoolean;
import org.cowslipdale.core.control.LeaseTimings;
import org.cowslipdale.daemon.version.CurrentView;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;

/** Tells the balancer whether this VM wants new connections. */
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
   * @param needsKeys whether nothing can be served without keys; such a VM is not ready while it is
   *     cut off
   */
  Readiness(ViewHolder views, VmClock clock, boolean needsKeys) {
    this.views = views;
    this.clock = clock;
    this.requiresKeys = needsKeys;
  }

  /** A VM is ready once it has a view; one that serves open routes stays so when it is cut off. */
  boolean isReady() {
    return canServe() && !stopping.get() && !drained.get();
  }

  /** Tells whether the VM has a configuration that it may act on. */
  boolean canServe() {
    CurrentView current = views.get();
    if (current.view().version() == 0) {
      return false;
    }
    long leaseless = current.lease().expiredForMillis(clock.millis());
    return !requiresKeys
        || (leaseless <= LeaseTimings.KEY_GRACE_MILLIS
            && !current.view().configuration().sessionRoutes().isEmpty());
  }

  void markStopping() {
    stopping.set(true);
  }

  void setDrained(boolean value) {
    drained.set(value);
  }
}
