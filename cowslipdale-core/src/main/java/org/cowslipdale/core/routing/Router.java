package org.cowslipdale.core.routing;

import org.cowslipdale.core.backend.BackendGroup;
import org.cowslipdale.core.view.DatabaseState;

/** Chooses the backend server on which a request runs. */
public interface Router {

  /**
   * Chooses the server for a request, given the servers and the view known at {@code now}.
   *
   * @param request the request
   * @param group the known servers of the database
   * @param state the terms and the primary of the database in the VM's view
   * @param lease the VM's lease on its view
   * @param evacuations the evacuated failure domains
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  RouteDecision route(
      RouteRequest request,
      BackendGroup group,
      DatabaseState state,
      LeaseStatus lease,
      Evacuations evacuations,
      long now);
}
