package org.cowslipdale.daemon.process;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.config.protocol.AdminMessages.ConfigurationBody;
import org.cowslipdale.config.protocol.AdminMessages.ConfigurationUpdate;
import org.cowslipdale.config.protocol.AdminMessages.DrainBody;
import org.cowslipdale.config.protocol.AdminMessages.EvacuationOrder;
import org.cowslipdale.config.protocol.AdminMessages.HistoryBody;
import org.cowslipdale.config.protocol.AdminMessages.InForceBody;
import org.cowslipdale.config.protocol.AdminMessages.KeyAddition;
import org.cowslipdale.config.protocol.AdminMessages.KeyInfo;
import org.cowslipdale.config.protocol.AdminMessages.KeyList;
import org.cowslipdale.config.protocol.AdminMessages.Removal;
import org.cowslipdale.config.protocol.AdminMessages.StatusBody;
import org.cowslipdale.config.protocol.ErrorBody;
import org.cowslipdale.config.settings.DaemonSettings;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.control.LeaseTimings;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.ApiKey;
import org.cowslipdale.core.view.ConfigurationChange;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.daemon.adapter.RequestBody;
import org.cowslipdale.daemon.client.ClientGuard;
import org.cowslipdale.daemon.client.ClientGuard.Port;
import org.cowslipdale.daemon.client.HttpConnections;
import org.cowslipdale.daemon.control.ControlPlane;
import org.cowslipdale.daemon.peer.PeerMessage.ChangeReply;
import org.cowslipdale.daemon.peer.PeerMessage.FleetQuery;
import org.cowslipdale.daemon.peer.PeerMessage.FleetReply;
import org.cowslipdale.daemon.version.CurrentView;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP server for administration requests of operators, announcements of backend servers, health
 * checks and metrics.
 *
 * <p>{@code docs/OPERATIONS.md} lists the paths.
 */
final class AdminServer {

  private static final Logger LOG = LoggerFactory.getLogger(AdminServer.class);
  private static final ObjectMapper JSON = Codecs.json();
  private static final String BEARER = "Bearer ";

  /** The maximum size of a request body, such as a whole configuration. */
  private static final int MAX_BODY_BYTES = 1 << 20;

  private final Vertx vertx;
  private final DaemonSettings settings;
  private final ControlPlane control;
  private final ViewHolder views;
  private final BackendRegistry registry;
  private final Readiness readiness;
  private final PrometheusMeterRegistry meters;
  private final VmClock clock;
  private final HttpConnections connections;
  private final HttpServer server;

  AdminServer(
      Vertx vertx,
      DaemonSettings settings,
      ControlPlane control,
      ViewHolder views,
      BackendRegistry registry,
      Readiness readiness,
      PrometheusMeterRegistry meters,
      VmClock clock,
      ClientGuard guard) {
    this.vertx = requireNonNull(vertx, "vertx");
    this.settings = requireNonNull(settings, "settings");
    this.control = requireNonNull(control, "control");
    this.views = requireNonNull(views, "views");
    this.registry = requireNonNull(registry, "registry");
    this.readiness = requireNonNull(readiness, "readiness");
    this.meters = requireNonNull(meters, "meters");
    this.clock = requireNonNull(clock, "clock");
    this.connections = new HttpConnections(guard, Port.ADMIN);
    this.server =
        connections.protect(
            vertx.createHttpServer(
                new HttpServerOptions()
                    .setHttp2ClearTextEnabled(false)
                    .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
                    .setIdleTimeout((int) guard.limits().writeMillis())),
            this::handleRequest);
  }

  /** Binds the address and starts serving. */
  Future<Void> start() {
    String[] address = settings.listen().admin().split(":", 2);
    return server.listen(Integer.parseInt(address[1]), address[0]).mapEmpty();
  }

  /** Stops serving. */
  Future<Void> stop() {
    return server.close();
  }

  private void handleRequest(HttpServerRequest request) {
    RequestBody.receive(
        connections,
        request,
        MAX_BODY_BYTES,
        body -> handleBody(request, body),
        code -> {
          request.response().putHeader("Connection", "close");
          sendError(request, code, code.text());
        });
  }

  private void handleBody(HttpServerRequest request, Buffer body) {
    try {
      dispatch(request, body);
    } catch (CowslipException e) {
      sendError(request, e.code(), String.valueOf(e.getMessage()));
    } catch (IOException e) {
      LOG.debug("cannot parse the administration request", e);
      sendError(request, ResultCode.BAD_REQUEST, ResultCode.BAD_REQUEST.text());
    }
  }

  private void dispatch(HttpServerRequest request, Buffer body)
      throws IOException, CowslipException {
    String route = request.method().name() + " " + request.path();
    switch (route) {
      case "GET /health/live" -> request.response().end("live\n");
      case "GET /health/ready" -> sendReadiness(request);
      case "GET /metrics" -> sendMetrics(request);
      case "POST /v1/announcements" -> handleAnnouncement(request, body);
      default -> {
        authorize(request, settings.secrets().adminToken(), ResultCode.ADMIN_UNAUTHENTICATED);
        dispatchAdmin(request, route, body);
      }
    }
  }

  private void dispatchAdmin(HttpServerRequest request, String route, Buffer body)
      throws IOException, CowslipException {
    switch (route) {
      case "GET /v1/admin/configuration" -> sendJson(request, 200, configurationBody());
      case "PUT /v1/admin/configuration" ->
          applyConfiguration(request, parseBody(body, ConfigurationUpdate.class));
      case "GET /v1/admin/keys" -> sendJson(request, 200, keyList());
      case "POST /v1/admin/keys" -> addKey(request, parseBody(body, KeyAddition.class));
      case "POST /v1/admin/keys/withdraw" -> {
        Removal removal = parseBody(body, Removal.class);
        proposeChange(
            request,
            new ViewCommand.WithdrawKey(removal.requestId(), clock.wallMillis(), removal.name()));
      }
      case "POST /v1/admin/vms/remove" -> {
        Removal removal = parseBody(body, Removal.class);
        proposeChange(
            request,
            new ViewCommand.RemoveVm(removal.requestId(), clock.wallMillis(), removal.name()));
      }
      case "POST /v1/admin/evacuations/start" ->
          orderEvacuation(request, parseBody(body, EvacuationOrder.class), true);
      case "POST /v1/admin/evacuations/finish" ->
          orderEvacuation(request, parseBody(body, EvacuationOrder.class), false);
      case "POST /v1/admin/drain" -> {
        DrainBody drain = parseBody(body, DrainBody.class);
        readiness.setDrained(drain.drained());
        sendJson(request, 200, drain);
      }
      case "GET /v1/admin/status" -> sendStatus(request);
      case "GET /v1/admin/history" -> sendHistory(request);
      case "GET /v1/admin/in-force" -> sendInForce(request);
      default -> sendError(request, ResultCode.NOT_FOUND, "No such path: " + request.path());
    }
  }

  private void sendReadiness(HttpServerRequest request) {
    boolean ready = readiness.isReady();
    request.response().setStatusCode(ready ? 200 : 503).end(ready ? "ready\n" : "not ready\n");
  }

  private void sendMetrics(HttpServerRequest request) {
    request
        .response()
        .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        .end(meters.scrape());
  }

  private void handleAnnouncement(HttpServerRequest request, Buffer body)
      throws IOException, CowslipException {
    authorize(request, settings.secrets().announceToken(), ResultCode.ADMIN_UNAUTHENTICATED);
    control.addAnnouncement(parseBody(body, Announcement.class));
    request.response().setStatusCode(204).end();
  }

  private ConfigurationBody configurationBody() {
    View view = views.get().view();
    return new ConfigurationBody(view.version(), view.configurationVersion(), view.configuration());
  }

  /**
   * Proposes the requested configuration as a difference to the expected version.
   *
   * <p>If this VM already has a later version, so does the control leader. The leader then returns
   * the result of an earlier attempt or reports a version conflict, and does not apply the
   * difference.
   */
  private void applyConfiguration(HttpServerRequest request, ConfigurationUpdate update)
      throws CowslipException {
    View view = views.get().view();
    if (update.expectedVersion() > view.configurationVersion()) {
      throw new CowslipException(
          ResultCode.VERSION_CONFLICT,
          "This VM knows the configuration up to version %d only."
              .formatted(view.configurationVersion()));
    }
    ConfigurationChange change = view.configuration().changeTo(update.configuration());
    proposeChange(
        request,
        new ViewCommand.ChangeConfiguration(
            update.requestId(), clock.wallMillis(), update.expectedVersion(), change));
  }

  private KeyList keyList() {
    return new KeyList(
        views.get().view().keys().values().stream()
            .map(key -> new KeyInfo(key.id(), key.customer()))
            .sorted((a, b) -> a.id().compareTo(b.id()))
            .toList());
  }

  private void addKey(HttpServerRequest request, KeyAddition addition) {
    ApiKey key = addition.key();
    proposeChange(request, new ViewCommand.AddKey(addition.requestId(), clock.wallMillis(), key));
  }

  private void orderEvacuation(HttpServerRequest request, EvacuationOrder order, boolean begin) {
    sendChangeReply(request, control.proposeEvacuation(order.failureDomain(), begin));
  }

  private void proposeChange(HttpServerRequest request, ViewCommand command) {
    sendChangeReply(request, control.propose(command));
  }

  private void sendChangeReply(
      HttpServerRequest request, CompletableFuture<ChangeReply> changeReply) {
    respondWhenComplete(
        request,
        changeReply,
        reply -> {
          if (reply.result() == null) {
            ResultCode failure =
                Optional.ofNullable(reply.failure()).orElse(ResultCode.CHANGE_OUTCOME_UNKNOWN);
            sendError(request, failure, failure.text());
          } else if (reply.result().code() == ResultCode.OK) {
            sendJson(request, 200, reply.result());
          } else {
            sendError(request, reply.result().code(), reply.result().message());
          }
        });
  }

  private void sendStatus(HttpServerRequest request) {
    respondWhenComplete(
        request,
        control.queryFleet(new FleetQuery(0, 0, false)),
        fleet -> {
          CurrentView current = views.get();
          long leaseMillis = current.lease().endMillis() - clock.millis();
          sendJson(
              request,
              200,
              StatusBody.of(
                  settings.vm().name(),
                  current.view(),
                  Math.max(0, leaseMillis),
                  registry,
                  fleet.map(FleetReply::leader).orElse(null),
                  fleet.map(FleetReply::leaseHolders).orElse(List.of()),
                  clock.millis()));
        });
  }

  private void sendHistory(HttpServerRequest request) {
    respondWhenComplete(
        request,
        control.queryFleet(new FleetQuery(0, 0, true)),
        fleet -> {
          if (fleet.isEmpty()) {
            sendError(request, ResultCode.NO_LEADER, ResultCode.NO_LEADER.text());
          } else {
            sendJson(request, 200, new HistoryBody(fleet.get().history()));
          }
        });
  }

  private void sendInForce(HttpServerRequest request) throws CowslipException {
    long version = parseVersion(request.getParam("version", ""));
    boolean keys = request.getParam("kind", "view").equals("keys");
    long graceMillis = keys ? LeaseTimings.KEY_GRACE_BOUND_MILLIS : 0;
    respondWhenComplete(
        request,
        control.queryFleet(new FleetQuery(version, graceMillis, false)),
        fleet -> {
          if (fleet.isEmpty()) {
            sendError(request, ResultCode.NO_LEADER, ResultCode.NO_LEADER.text());
            return;
          }
          List<String> waitingFor = fleet.get().waitingFor();
          boolean versionKnown = fleet.get().version() >= version;
          sendJson(
              request,
              200,
              new InForceBody(version, versionKnown && waitingFor.isEmpty(), waitingFor));
        });
  }

  private static long parseVersion(String text) throws CowslipException {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new CowslipException(
          ResultCode.BAD_REQUEST, "The parameter version must be a whole number.", e);
    }
  }

  /**
   * Responds on the event loop of the request when a call to the control plane completes.
   *
   * @param then sends the response, unless the call failed
   */
  private <T> void respondWhenComplete(
      HttpServerRequest request, CompletableFuture<T> future, Consumer<T> then) {
    var context = vertx.getOrCreateContext();
    future.whenComplete(
        (value, failure) ->
            context.runOnContext(
                ignored -> {
                  if (failure == null) {
                    then.accept(value);
                  } else {
                    LOG.error("an administration request failed", failure);
                    sendError(request, ResultCode.INTERNAL_ERROR, ResultCode.INTERNAL_ERROR.text());
                  }
                }));
  }

  private static void authorize(HttpServerRequest request, String token, ResultCode code)
      throws CowslipException {
    String header = request.getHeader("Authorization");
    String presentedToken =
        header != null && header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
    if (!MessageDigest.isEqual(presentedToken.getBytes(UTF_8), token.getBytes(UTF_8))) {
      throw new CowslipException(code, code.text());
    }
  }

  private static <T> T parseBody(Buffer body, Class<T> type) throws IOException, CowslipException {
    T value;
    try {
      value = JSON.readValue(body.getBytes(), type);
    } catch (JsonProcessingException e) {
      throw new CowslipException(
          ResultCode.BAD_REQUEST, "The body is not valid: " + e.getOriginalMessage(), e);
    }
    if (value == null) {
      throw new CowslipException(ResultCode.BAD_REQUEST, "The body is missing.");
    }
    return value;
  }

  private static void sendJson(HttpServerRequest request, int status, Object body) {
    try {
      request
          .response()
          .setStatusCode(status)
          .putHeader("Content-Type", "application/json")
          .end(Buffer.buffer(JSON.writeValueAsBytes(body)));
    } catch (IOException e) {
      throw new IllegalStateException("cannot serialize the response body as JSON", e);
    }
  }

  private static void sendError(HttpServerRequest request, ResultCode code, String message) {
    sendJson(request, code.httpStatus(), ErrorBody.of(code, message));
  }
}
