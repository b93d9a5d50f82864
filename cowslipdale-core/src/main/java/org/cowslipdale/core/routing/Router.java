package org.cowslipdale.core.routing;

import org.cowslipdale.core.backend.BackendGroup;
import org.cowslipdale.core.view.DatabaseState;

/** Chooses the backend server on which a request runs. */
public interface Router {

  /**
   * Decides where a request runs at the present time.
   *
   * @param request the request
   * @param group the known servers of its database
   * @param state the term and primary of its database in the VM's view
   * @param lease until when the VM may rely on its view
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  RouteDecision route(
      RouteRequest request, BackendGroup group, DatabaseState state, LeaseStatus lease, long now);
}
