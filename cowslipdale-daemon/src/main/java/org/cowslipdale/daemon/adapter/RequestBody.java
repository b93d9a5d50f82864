package org.cowslipdale.daemon.adapter;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.Consumer;
import org.cowslipdale.core.budget.ByteBudget;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.daemon.client.ClientConnection;
import org.cowslipdale.daemon.client.ClientGuard;
import org.cowslipdale.daemon.client.HttpConnections;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Receives the body of an HTTP request up to a limit, so that no request can exhaust the heap. */
public final class RequestBody {

  private static final Logger LOG = LoggerFactory.getLogger(RequestBody.class);

  /** Bodies up to this size, such as heartbeats, are held without asking for memory. */
  private static final int FREE_BYTES = 1 << 10;

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

  /**
   * Receives the body of a request while there is memory for it; refuses it otherwise. The bytes
   * are held until the response has ended.
   *
   * @param connections the connections of the server
   * @param request the request; its body must not have been read
   * @param maxBytes the maximum size of the body, in bytes
   * @param onComplete receives the complete body
   * @param onRefused runs once if the body exceeds the limit or the memory; the rest of it is
   *     discarded
   */
  public static void receive(
      HttpConnections connections,
      HttpServerRequest request,
      int maxBytes,
      Handler<Buffer> onComplete,
      Consumer<ResultCode> onRefused) {
    ClientConnection connection = connections.of(request).orElse(null);
    if (connection == null) {
      return;
    }
    RequestBody body =
        new RequestBody(maxBytes, onComplete, () -> onRefused.accept(ResultCode.REQUEST_TOO_LARGE));
    connection.setInMessage(true);
    request.handler(
        chunk -> {
          connection.recordReceived(chunk.length());
          body.appendWithin(connections.guard(), connection, request, chunk, onRefused);
        });
    request.endHandler(
        ignored -> {
          connection.setInMessage(false);
          body.complete();
        });
    request.exceptionHandler(
        e -> LOG.debug("a request ended before its body was complete: {}", e.getMessage()));
  }

  private void appendWithin(
      ClientGuard guard,
      ClientConnection connection,
      HttpServerRequest request,
      Buffer chunk,
      Consumer<ResultCode> onRefused) {
    int needed = body.length() + chunk.length();
    boolean large = needed > ByteBudget.SMALL_MESSAGE_BYTES;
    long bytes = large ? ByteBudget.LARGE_MESSAGE_BYTES : 2L * needed;
    boolean within = tooLarge || needed > maxBytes || needed <= FREE_BYTES;
    if (within || connection.reading().tryHold(bytes, large)) {
      append(chunk);
      if (tooLarge) {
        connection.reading().hold(0);
      }
      return;
    }
    request.pause();
    connection.setPaused(true);
    guard.await(
        connection.reading(),
        bytes,
        large,
        () -> {
          connection.setPaused(false);
          append(chunk);
          request.resume();
        },
        () -> {
          connection.setPaused(false);
          connection.reading().hold(0);
          tooLarge = true;
          body = Buffer.buffer();
          onRefused.accept(ResultCode.MEMORY_LIMIT_REACHED);
          request.resume();
        });
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
