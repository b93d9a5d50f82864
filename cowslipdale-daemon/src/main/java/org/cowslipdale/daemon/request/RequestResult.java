package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import org.cowslipdale.core.session.SessionToken;

/**
 * The answer to a request that ran.
 *
 * @param result the result of the statement
 * @param server the backend server that ran it
 * @param session what the session has seen after the request
 */
public record RequestResult(JsonNode result, String server, SessionToken session) {

  /** Asserts that every component is set. */
  public RequestResult {
    requireNonNull(result, "result");
    requireNonNull(server, "server");
    requireNonNull(session, "session");
  }
}
