package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import io.vertx.core.AbstractVerticle;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipdale.config.settings.DaemonSettings;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.daemon.adapter.RequestBody;
import org.cowslipdale.daemon.telemetry.RequestMetrics;
import org.cowslipdale.daemon.telemetry.Tracing;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP server for callers. It receives requests on several event loops and handles each on its
 * own virtual thread.
 *
 * <p>While the server drains, it still handles requests. Every response then carries {@code
 * Connection: close} so that callers close their connections.
 */
public final class CallerServer {

  private static final Logger LOG = LoggerFactory.getLogger(CallerServer.class);
  private static final String BEARER = "Bearer ";
  private static final int IDLE_TIMEOUT_SECONDS = 60;

  /** Part of the time that the daemon reserves at its end for closing its components. */
  private static final long SHUTDOWN_GRACE_MILLIS = 300;

  private final Vertx vertx;
  private final DaemonSettings settings;
  private final RequestService service;
  private final Tracing tracing;
  private final RequestMetrics metrics;
  private final AtomicInteger inProgress = new AtomicInteger();

  /** Requests whose head has arrived and whose response has not been written yet. */
  private final AtomicInteger unanswered = new AtomicInteger();

  private final Set<Thread> requestThreads = ConcurrentHashMap.newKeySet();
  private final AtomicBoolean draining = new AtomicBoolean();
  private @Nullable String deploymentId;

  CallerServer(
      Vertx vertx,
      DaemonSettings settings,
      RequestService service,
      Tracing tracing,
      RequestMetrics metrics) {
    this.vertx = requireNonNull(vertx, "vertx");
    this.settings = requireNonNull(settings, "settings");
    this.service = requireNonNull(service, "service");
    this.tracing = requireNonNull(tracing, "tracing");
    this.metrics = requireNonNull(metrics, "metrics");
  }

  /** Binds the address for callers and starts to accept requests. */
  public Future<Void> start() {
    DeploymentOptions options =
        new DeploymentOptions().setInstances(settings.limits().eventLoops());
    return vertx
        .deployVerticle(Listener::new, options)
        .onSuccess(id -> deploymentId = id)
        .mapEmpty();
  }

  /** Starts to send {@code Connection: close} with every response. */
  public void drain() {
    draining.set(true);
  }

  /** Ends the requests in progress; each is answered with whether it may have run. */
  public void endRequests() {
    requestThreads.forEach(Thread::interrupt);
  }

  /** Returns the number of requests in progress. */
  public int inProgress() {
    return inProgress.get();
  }

  /** Returns whether a request is in progress, still arriving, or without a written response. */
  public boolean isBusy() {
    return inProgress.get() > 0 || unanswered.get() > 0;
  }

  /** Stops accepting connections and closes the open ones. */
  public Future<Void> stop() {
    return deploymentId == null ? Future.succeededFuture() : vertx.undeploy(deploymentId);
  }

  private final class Listener extends AbstractVerticle {

    private @Nullable HttpServer server;

    @Override
    public void start(Promise<Void> started) {
      String[] address = settings.listen().callers().orElseThrow().split(":", 2);
      HttpServerOptions options =
          new HttpServerOptions()
              .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
              .setIdleTimeoutUnit(TimeUnit.SECONDS)
              .setTcpNoDelay(true)
              .setHttp2ClearTextEnabled(false)
              .setMaxHeaderSize(settings.limits().maxHeaderBytes());
      server = vertx.createHttpServer(options).requestHandler(CallerServer.this::receive);
      server.listen(Integer.parseInt(address[1]), address[0]).<Void>mapEmpty().onComplete(started);
    }

    /** Answers the requests that arrived after the drain before the connections are closed. */
    @Override
    public void stop(Promise<Void> stopped) {
      if (server == null) {
        stopped.complete();
      } else {
        server.shutdown(SHUTDOWN_GRACE_MILLIS, TimeUnit.MILLISECONDS).onComplete(stopped);
      }
    }
  }

  private void receive(HttpServerRequest request) {
    countUntilAnswered(request.response());
    RequestBody.receive(
        request,
        settings.limits().maxBodyBytes(),
        body -> admit(request, body),
        () -> {
          request.response().putHeader("Connection", "close");
          send(
              request.response(),
              Replies.error(ResultCode.REQUEST_TOO_LARGE, ResultCode.REQUEST_TOO_LARGE.text()));
        });
  }

  private void countUntilAnswered(HttpServerResponse response) {
    unanswered.incrementAndGet();
    AtomicBoolean ended = new AtomicBoolean();
    Handler<Void> onEnd =
        ignored -> {
          if (ended.compareAndSet(false, true)) {
            unanswered.decrementAndGet();
          }
        };
    response.bodyEndHandler(onEnd);
    response.closeHandler(onEnd);
  }

  private void admit(HttpServerRequest request, Buffer body) {
    if (inProgress.incrementAndGet() > settings.limits().maxConcurrentRequests()) {
      inProgress.decrementAndGet();
      send(
          request.response(),
          Replies.error(
              ResultCode.OVERLOADED, "This VM has reached its limit of concurrent requests."));
      return;
    }
    Thread.startVirtualThread(() -> serve(request, body));
  }

  private void serve(HttpServerRequest request, Buffer body) {
    long startedNanos = System.nanoTime();
    requestThreads.add(Thread.currentThread());
    try (Tracing.Hop hop = tracing.startHop("entry", request.getHeader("traceparent"))) {
      CallerRequest callerRequest = toCallerRequest(request, body, hop.traceparent());
      Reply reply = serve(callerRequest);
      hop.set("path", callerRequest.path());
      hop.set("status", Integer.toString(reply.status()));
      metrics.record(reply.status(), System.nanoTime() - startedNanos);
      send(request.response(), reply);
    } finally {
      requestThreads.remove(Thread.currentThread());
      inProgress.decrementAndGet();
    }
  }

  private Reply serve(CallerRequest request) {
    try {
      return service.handle(request);
    } catch (RuntimeException e) {
      LOG.error("request failed: {}", request, e);
      return Replies.error(ResultCode.INTERNAL_ERROR, ResultCode.INTERNAL_ERROR.text());
    }
  }

  private static CallerRequest toCallerRequest(
      HttpServerRequest request, Buffer body, String traceparent) {
    String authorization = request.getHeader("Authorization");
    boolean bearer = authorization != null && authorization.startsWith(BEARER);
    return new CallerRequest(
        request.method().name(),
        request.path(),
        bearer ? authorization.substring(BEARER.length()) : null,
        request.getHeader("Session-Token"),
        request.getHeader("Request-Id"),
        traceparent,
        body);
  }

  private void send(HttpServerResponse response, Reply reply) {
    response.setStatusCode(reply.status()).putHeader("Content-Type", "application/json");
    if (reply.sessionToken() != null) {
      response.putHeader("Session-Token", reply.sessionToken());
    }
    if (draining.get()) {
      response.putHeader("Connection", "close");
    }
    response.end(reply.body());
  }
}
