package org.cowslipdale.testsupport.caller;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a caller got.
 *
 * @param status the HTTP status; 0 if the connection failed
 * @param body the JSON body
 * @param millis how long it took, in milliseconds
 */
public record CallerReply(int status, JsonNode body, long millis) {

  /** Returns whether the request was acknowledged. */
  public boolean isDone() {
    return status == 200 || status == 201;
  }

  /** Returns the number of the result code; -1 if the connection failed. */
  public int code() {
    return body.path("code").asInt(-1);
  }

  /** Returns the outcome that the reply claims; empty if the request was acknowledged. */
  public String outcome() {
    return body.path("outcome").asText("");
  }

  /** Returns the result as text; empty for a null result. */
  public String result() {
    return body.path("result").isNull() ? "" : body.path("result").asText();
  }

  /** Returns the backend server that ran the request. */
  public String server() {
    return body.path("server").asText();
  }

  @Override
  public String toString() {
    return status + " " + body;
  }
}
