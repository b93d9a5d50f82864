package org.cowslipdale.daemon.version;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.routing.Evacuations;
import org.cowslipdale.core.routing.LeaseStatus;
import org.cowslipdale.core.view.View;

/**
 * The view that a VM uses, together with the lease that limits how long the VM may rely on it.
 *
 * @param view the current view
 * @param lease the lease during which the view is known to be current
 * @param callerVms the number of VMs that share the connections to servers
 * @param evacuations the evacuated failure domains of the view
 */
public record CurrentView(View view, LeaseStatus lease, int callerVms, Evacuations evacuations) {

  /** Checks that no component is {@code null}. */
  public CurrentView {
    requireNonNull(view, "view");
    requireNonNull(lease, "lease");
    requireNonNull(evacuations, "evacuations");
  }
}
