package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import org.cowslipdale.core.session.SessionToken;

/**
 * The result of a request that completed, independent of its HTTP representation.
 *
 * @param result the result of the statement, or the id of a transaction that was begun
 * @param server the name of the backend server that ran it
 * @param session the session token with the log positions seen up to and including this request
 */
public record RequestResult(JsonNode result, String server, SessionToken session) {

  /** Checks that every component is set. */
  public RequestResult {
    requireNonNull(result, "result");
    requireNonNull(server, "server");
    requireNonNull(session, "session");
  }
}
