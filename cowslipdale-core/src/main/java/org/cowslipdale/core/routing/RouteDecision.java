package org.cowslipdale.core.routing;

import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.result.ResultCode;

/** Where a request runs, or why it cannot run now. */
public sealed interface RouteDecision {

  /**
   * Run the request on a server.
   *
   * @param server the chosen server
   * @param term the term that the server must confirm
   * @param conditions what the server must satisfy when it runs the request
   */
  record RunOn(BackendServer server, long term, Conditions conditions) implements RouteDecision {}

  /**
   * No server suits now, but one may within the wait limit.
   *
   * @param code the code to report if none does
   */
  record Wait(ResultCode code) implements RouteDecision {}

  /**
   * Waiting cannot help.
   *
   * @param code the code to report
   */
  record Refuse(ResultCode code) implements RouteDecision {}

  /**
   * What a server must satisfy at the moment it runs a request; otherwise it declines.
   *
   * @param asPrimary whether it must be the primary of the term
   * @param minOffset the log offset that it must have applied
   * @param waitMillis how long it may wait to reach {@code minOffset}, in milliseconds
   * @param maxAgeMillis the greatest permitted age of its data, in milliseconds
   */
  record Conditions(boolean asPrimary, long minOffset, long waitMillis, long maxAgeMillis) {}
}
