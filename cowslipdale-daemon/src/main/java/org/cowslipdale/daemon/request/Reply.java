package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;

/**
 * An HTTP reply to a caller.
 *
 * @param status the HTTP status code
 * @param body the JSON body
 * @param sessionToken the encoded session token after the request, if it is known
 */
public record Reply(int status, String body, @Nullable String sessionToken) {

  /** Checks that the body is set. */
  public Reply {
    requireNonNull(body, "body");
  }
}
