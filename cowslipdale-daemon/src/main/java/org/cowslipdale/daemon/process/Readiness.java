package org.cowslipdale.daemon.process;

import java.util.concurrent.atomic.AtomicBoolean;
import org.cowslipdale.daemon.version.ViewHolder;

/** Tells the balancer whether this VM wants new connections. */
final class Readiness {

  private final ViewHolder views;
  private final AtomicBoolean stopping = new AtomicBoolean();
  private final AtomicBoolean drained = new AtomicBoolean();

  Readiness(ViewHolder views) {
    this.views = views;
  }

  /** A VM is ready once it has a view, and stays ready when it is cut off. */
  boolean isReady() {
    boolean hasView = views.get().view().version() > 0;
    return hasView && !stopping.get() && !drained.get();
  }

  void stop() {
    stopping.set(true);
  }

  void setDrained(boolean value) {
    drained.set(value);
  }
}
