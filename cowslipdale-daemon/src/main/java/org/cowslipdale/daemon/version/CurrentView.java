package org.cowslipdale.daemon.version;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.routing.LeaseStatus;
import org.cowslipdale.core.view.View;

/**
 * The view that a VM acts on and until when it may rely on it; immutable.
 *
 * @param view the view
 * @param lease the lease under which it is known to be current
 * @param callerVms how many VMs share the connections of servers
 */
public record CurrentView(View view, LeaseStatus lease, int callerVms) {

  /** Asserts that every component is set. */
  public CurrentView {
    requireNonNull(view, "view");
    requireNonNull(lease, "lease");
  }
}
