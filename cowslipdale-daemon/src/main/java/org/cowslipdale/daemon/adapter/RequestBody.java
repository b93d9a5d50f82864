package org.cowslipdale.daemon.adapter;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Receives the body of an HTTP request up to a limit, so that no request can exhaust the heap. */
public final class RequestBody {

  private static final Logger LOG = LoggerFactory.getLogger(RequestBody.class);

  private final int maxBytes;
  private final Handler<Buffer> onComplete;
  private final Runnable onTooLarge;
  private Buffer body = Buffer.buffer();
  private boolean tooLarge;

  private RequestBody(int maxBytes, Handler<Buffer> onComplete, Runnable onTooLarge) {
    this.maxBytes = maxBytes;
    this.onComplete = onComplete;
    this.onTooLarge = onTooLarge;
  }

  /**
   * Receives the body of a request. Neither callback runs if the request ends before its body is
   * complete.
   *
   * @param request the request; its body must not have been read
   * @param maxBytes the maximum size of the body, in bytes
   * @param onComplete receives the complete body
   * @param onTooLarge runs once if the body exceeds the limit; the rest of it is discarded
   */
  public static void receive(
      HttpServerRequest request, int maxBytes, Handler<Buffer> onComplete, Runnable onTooLarge) {
    RequestBody body = new RequestBody(maxBytes, onComplete, onTooLarge);
    request.handler(body::append);
    request.endHandler(ignored -> body.complete());
    request.exceptionHandler(
        e -> LOG.debug("a request ended before its body was complete: {}", e.getMessage()));
  }

  private void append(Buffer chunk) {
    if (tooLarge) {
      return;
    }
    if (body.length() + chunk.length() <= maxBytes) {
      body.appendBuffer(chunk);
      return;
    }
    tooLarge = true;
    body = Buffer.buffer();
    onTooLarge.run();
  }

  private void complete() {
    if (!tooLarge) {
      onComplete.handle(body);
    }
  }
}
