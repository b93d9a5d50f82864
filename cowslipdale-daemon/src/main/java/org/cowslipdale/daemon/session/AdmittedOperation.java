package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.view.SessionRoute;

/**
 * A single statement or a whole transaction, admitted under one version of the configuration.
 *
 * @param route the route on which it runs
 * @param customer the customer whose key the session showed, or the identity of an open route
 */
record AdmittedOperation(SessionRoute route, String customer) {

  AdmittedOperation {
    requireNonNull(route, "route");
    requireNonNull(customer, "customer");
  }
}
