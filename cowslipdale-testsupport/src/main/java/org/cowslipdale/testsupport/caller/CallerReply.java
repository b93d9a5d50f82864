package org.cowslipdale.testsupport.caller;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The response to a request of a caller, or a failure to get one.
 *
 * @param status the HTTP status; 0 if there is no response
 * @param body the JSON body of the response; if there is no response, an object that may hold the
 *     failure under {@code error}
 * @param durationMillis the time from the start of the request to the end of the response or to the
 *     failure, in milliseconds
 */
public record CallerReply(int status, JsonNode body, long durationMillis) {

  /** Returns whether the request succeeded; if so, a write is acknowledged. */
  public boolean isSuccessful() {
    return status == 200 || status == 201;
  }

  /** Returns the number of the result code; -1 if there is no response. */
  public int resultCode() {
    return body.path("code").asInt(-1);
  }

  /** Returns the outcome that an error response reports; empty if it reports none. */
  public String outcome() {
    return body.path("outcome").asText("");
  }

  /** Returns the result of the statement as text; empty for a null result. */
  public String result() {
    return body.path("result").isNull() ? "" : body.path("result").asText();
  }

  /** Returns the name of the backend server that ran the request. */
  public String server() {
    return body.path("server").asText();
  }

  @Override
  public String toString() {
    return status + " " + body;
  }
}
