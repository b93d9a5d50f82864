package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import io.vertx.core.buffer.Buffer;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP request of a caller with its complete body.
 *
 * @param method the HTTP method
 * @param path the path without the query
 * @param key the API key from the {@code Authorization} header, if any
 * @param sessionToken the {@code Session-Token} header, if any
 * @param requestId the {@code Request-Id} header, if any
 * @param traceparent the W3C trace context of the entry span, if any
 * @param body the request body
 */
record CallerRequest(
    String method,
    String path,
    @Nullable String key,
    @Nullable String sessionToken,
    @Nullable String requestId,
    @Nullable String traceparent,
    Buffer body) {

  CallerRequest {
    requireNonNull(method, "method");
    requireNonNull(path, "path");
    requireNonNull(body, "body");
  }

  @Override
  public String toString() {
    return method + " " + path;
  }
}
