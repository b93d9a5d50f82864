package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.session.SessionToken;
import org.jspecify.annotations.Nullable;

/**
 * The identity, session and trace context of a request.
 *
 * @param customer the name of the authenticated customer, or the identity of an open route
 * @param session the session token with the log positions that the session has seen
 * @param requestId the request id that the caller sent, if any; it identifies resends
 * @param traceparent the W3C trace context, if any
 */
public record RequestContext(
    String customer,
    SessionToken session,
    @Nullable String requestId,
    @Nullable String traceparent) {

  /** Checks that the required components are set. */
  public RequestContext {
    requireNonNull(customer, "customer");
    requireNonNull(session, "session");
  }
}
