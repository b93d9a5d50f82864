package org.cowslipdale.daemon.version;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.routing.LeaseStatus;
import org.cowslipdale.core.view.View;

/**
 * The view that a VM uses, together with the lease that limits how long the VM may rely on it.
 *
 * @param view the current view
 * @param lease the lease during which the view is known to be current
 * @param callerVms the number of VMs that share the connections to servers
 */
public record CurrentView(View view, LeaseStatus lease, int callerVms) {

  /** Checks that the view and the lease are not {@code null}. */
  public CurrentView {
    requireNonNull(view, "view");
    requireNonNull(lease, "lease");
  }
}
