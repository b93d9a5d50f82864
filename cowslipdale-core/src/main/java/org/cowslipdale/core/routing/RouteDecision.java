package org.cowslipdale.core.routing;

import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.result.ResultCode;

/** The result of routing a request: a server, or the reason why none can run it now. */
public sealed interface RouteDecision {

  /**
   * The request runs on a server.
   *
   * @param server the chosen server
   * @param term the view term that the server must confirm
   * @param conditions the conditions that the server must satisfy when it runs the request
   */
  record RunOn(BackendServer server, long term, Conditions conditions) implements RouteDecision {}

  /**
   * No server is suitable now, but one may become suitable within the wait limit.
   *
   * @param code the result code if the wait limit is reached first
   */
  record Wait(ResultCode code) implements RouteDecision {}

  /**
   * The request cannot run on any server, now or later.
   *
   * @param code the result code
   */
  record Refuse(ResultCode code) implements RouteDecision {}

  /**
   * The conditions that a server checks when it runs a request. It rejects the request if one of
   * them does not hold.
   *
   * @param asPrimary whether it must be the primary of the term
   * @param minOffset the log offset that it must have applied
   * @param waitMillis how long it may wait to reach {@code minOffset}, in milliseconds
   * @param maxAgeMillis the maximum age of its data, in milliseconds
   */
  record Conditions(boolean asPrimary, long minOffset, long waitMillis, long maxAgeMillis) {}
}
