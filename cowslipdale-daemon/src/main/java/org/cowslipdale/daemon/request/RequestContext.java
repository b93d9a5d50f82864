package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.session.SessionToken;
import org.jspecify.annotations.Nullable;

/**
 * On whose behalf a request runs.
 *
 * @param customer the customer whose key came with the request, or the name of an open route
 * @param session what the session has seen
 * @param requestId the request id that the caller sent, if any
 * @param traceparent the trace context, if any
 */
public record RequestContext(
    String customer,
    SessionToken session,
    @Nullable String requestId,
    @Nullable String traceparent) {

  /** Asserts that the required components are set. */
  public RequestContext {
    requireNonNull(customer, "customer");
    requireNonNull(session, "session");
  }
}
