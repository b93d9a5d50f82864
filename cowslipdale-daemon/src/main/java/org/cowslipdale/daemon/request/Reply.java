package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;

/**
 * What is sent back to a caller.
 *
 * @param status the HTTP status
 * @param body the JSON body
 * @param sessionToken the new session token, if it is known
 */
public record Reply(int status, String body, @Nullable String sessionToken) {

  /** Asserts that the body is set. */
  public Reply {
    requireNonNull(body, "body");
  }
}
