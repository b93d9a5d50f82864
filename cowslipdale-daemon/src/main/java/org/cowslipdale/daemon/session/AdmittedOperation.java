package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.placement.HomeRegions;
import org.cowslipdale.core.view.SessionRoute;

/**
 * A single statement or a transaction that was admitted. All its statements use the route as it was
 * configured at that time.
 *
 * @param route the route of the session
 * @param customer the customer to whom the session's key belongs, or a placeholder for a session
 *     without a valid key on an open route
 * @param homeRegions the regions in which its data may be handled, as configured at that time
 */
record AdmittedOperation(SessionRoute route, String customer, HomeRegions homeRegions) {

  AdmittedOperation {
    requireNonNull(route, "route");
    requireNonNull(customer, "customer");
    requireNonNull(homeRegions, "homeRegions");
  }

  /** Creates an operation without a restriction by its customer. */
  AdmittedOperation(SessionRoute route, String customer) {
    this(route, customer, HomeRegions.of(route, null));
  }
}
