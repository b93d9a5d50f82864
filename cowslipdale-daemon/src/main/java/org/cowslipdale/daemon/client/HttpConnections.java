package org.cowslipdale.daemon.client;

import static java.util.Objects.requireNonNull;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipdale.daemon.client.ClientGuard.Port;

/** Keeps the connections of an HTTP server within the limits of a guard. */
public final class HttpConnections {

  private final ClientGuard guard;
  private final Port port;
  private final Map<HttpConnection, ClientConnection> connections = new ConcurrentHashMap<>();

  /**
   * Creates the connections.
   *
   * @param guard the guard
   * @param port the port that the server listens on
   */
  public HttpConnections(ClientGuard guard, Port port) {
    this.guard = requireNonNull(guard, "guard");
    this.port = requireNonNull(port, "port");
  }

  /** Returns the guard. */
  public ClientGuard guard() {
    return guard;
  }

  /**
   * Guards a server that does not listen yet.
   *
   * @param server the server
   * @param handler handles the requests
   * @return the server
   */
  public HttpServer protect(HttpServer server, Handler<HttpServerRequest> handler) {
    return server
        .connectionHandler(this::accept)
        .requestHandler(request -> handleRequest(request, handler));
  }

  /**
   * Returns the connection of a request, or empty if it has ended.
   *
   * @param request the request
   */
  public Optional<ClientConnection> of(HttpServerRequest request) {
    return Optional.ofNullable(connections.get(request.connection()));
  }

  private void accept(HttpConnection opened) {
    Optional<ClientConnection> admitted = guard.accept(port, opened::close);
    if (admitted.isEmpty()) {
      opened.close();
      return;
    }
    connections.put(opened, admitted.get());
    opened.closeHandler(
        ignored -> {
          connections.remove(opened);
          admitted.get().end();
        });
  }

  /**
   * Handles a request, once the client has read the responses to earlier ones: a client that sends
   * requests ahead without reading must not make this VM hold the responses.
   */
  private void handleRequest(HttpServerRequest request, Handler<HttpServerRequest> handler) {
    Optional<ClientConnection> connection = of(request);
    if (connection.isEmpty()) {
      request.connection().close();
      return;
    }
    connection.get().setOpened(true);
    request
        .response()
        .endHandler(
            ignored -> {
              connection.get().reading().hold(0);
              connection.get().setInMessage(false);
              connection.get().setOpened(false);
            });
    if (!request.response().writeQueueFull()) {
      handler.handle(request);
      return;
    }
    request.pause();
    request
        .response()
        .drainHandler(
            ignored -> {
              request.response().drainHandler(null);
              handler.handle(request);
              request.resume();
            });
  }
}
