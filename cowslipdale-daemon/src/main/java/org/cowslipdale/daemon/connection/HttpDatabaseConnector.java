package org.cowslipdale.daemon.connection;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.config.protocol.BackendAnswer;
import org.cowslipdale.config.protocol.BackendCall;
import org.cowslipdale.config.protocol.PromotionCall;
import org.cowslipdale.config.protocol.ServerStatus;

/** Speaks HTTP/1.1 with JSON bodies to backend servers, as {@code docs/BACKENDS.md} states it. */
public final class HttpDatabaseConnector implements DatabaseConnector {

  private static final ObjectMapper JSON = Codecs.json();

  private final Vertx vertx;
  private final HttpClientAgent client;
  private final UnaryOperator<String> addressTranslator;

  /**
   * Creates a connector.
   *
   * @param vertx the Vert.x instance whose event loops do the I/O
   * @param reachable finds the address to connect to for an announced address
   */
  public HttpDatabaseConnector(Vertx vertx, UnaryOperator<String> reachable) {
    this.vertx = vertx;
    this.addressTranslator = reachable;
    HttpClientOptions options = new HttpClientOptions().setKeepAlive(true).setTcpNoDelay(true);
    this.client = vertx.createHttpClient(options);
  }

  @Override
  public BackendConnection connect(String address, long timeoutMillis) throws BackendException {
    HttpConnectOptions options = connectOptions(address, timeoutMillis);
    Context context = vertx.getOrCreateContext();
    try {
      HttpClientConnection connection =
          EventLoopCalls.await(
              EventLoopCalls.runOnEventLoop(context, () -> client.connect(options)), timeoutMillis);
      return new HttpBackendConnection(context, connection);
    } catch (IOException e) {
      throw new BackendException(false, e);
    }
  }

  @Override
  public ServerStatus status(ServerRef server, long timeoutMillis) throws BackendException {
    return sendOnNewConnection(server.address(), "/status", new PromotionCall(0, null), timeoutMillis);
  }

  @Override
  public ServerStatus promote(String address, PromotionCall promotion, long timeoutMillis)
      throws BackendException {
    return sendOnNewConnection(address, "/promote", promotion, timeoutMillis);
  }

  @Override
  public ServerStatus awaitOffset(String address, long offset, long timeoutMillis)
      throws BackendException {
    BackendCall call =
        new BackendCall("await", 0, false, offset, timeoutMillis, 0, false, null, null);
    return sendOnPooledConnection(address, call, timeoutMillis + 100);
  }

  /**
   * Sends one message over a connection of its own, outside the client's pool: the waits for
   * replication can hold every connection of the pool for seconds.
   */
  private ServerStatus sendOnNewConnection(String address, String path, Object message, long timeoutMillis)
      throws BackendException {
    HttpConnectOptions server = connectOptions(address, timeoutMillis);
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setURI(path)
            .putHeader("Connection", "close")
            .setIdleTimeout(timeoutMillis);
    try {
      Buffer body = Buffer.buffer(JSON.writeValueAsBytes(message));
      Future<Buffer> answer =
          EventLoopCalls.runOnEventLoop(
              vertx.getOrCreateContext(),
              () ->
                  client.connect(server).compose(connection -> exchangeAndClose(connection, options, body)));
      return JSON.readValue(
          EventLoopCalls.await(answer, timeoutMillis).getBytes(), ServerStatus.class);
    } catch (IOException e) {
      throw new BackendException(true, e);
    }
  }

  private static Future<Buffer> exchangeAndClose(
      HttpClientConnection connection, RequestOptions options, Buffer body) {
    return connection
        .request(options)
        .compose(request -> request.send(body))
        .compose(HttpDatabaseConnector::successBody)
        .onComplete(ignored -> connection.close());
  }

  private ServerStatus sendOnPooledConnection(String address, BackendCall message, long timeoutMillis)
      throws BackendException {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setHost(host(address))
            .setPort(port(address))
            .setURI("/await")
            .putHeader("Connection", "close")
            .setConnectTimeout(timeoutMillis)
            .setIdleTimeout(timeoutMillis);
    try {
      Buffer body = Buffer.buffer(JSON.writeValueAsBytes(message));
      Future<Buffer> answer =
          EventLoopCalls.runOnEventLoop(
              vertx.getOrCreateContext(),
              () ->
                  client
                      .request(options)
                      .compose(request -> request.send(body))
                      .compose(HttpDatabaseConnector::successBody));
      return JSON.readValue(
          EventLoopCalls.await(answer, timeoutMillis).getBytes(), ServerStatus.class);
    } catch (IOException e) {
      throw new BackendException(true, e);
    }
  }

  private static Future<Buffer> successBody(HttpClientResponse response) {
    return response
        .body()
        .compose(
            body ->
                response.statusCode() == 200
                    ? Future.succeededFuture(body)
                    : Future.failedFuture(
                        new IOException("status " + response.statusCode() + ": " + body)));
  }

  private HttpConnectOptions connectOptions(String address, long timeoutMillis) {
    return new HttpConnectOptions()
        .setHost(host(address))
        .setPort(port(address))
        .setConnectTimeout(timeoutMillis);
  }

  private String host(String announced) {
    String address = addressTranslator.apply(announced);
    return address.substring(0, address.lastIndexOf(':'));
  }

  private int port(String announced) {
    String address = addressTranslator.apply(announced);
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }

  /** One connection that is not shared and not pooled by the HTTP client. */
  private static final class HttpBackendConnection implements BackendConnection {

    private final Context context;
    private final HttpClientConnection connection;
    private final AtomicBoolean usable = new AtomicBoolean(true);

    HttpBackendConnection(Context context, HttpClientConnection connection) {
      this.context = context;
      this.connection = connection;
      connection.closeHandler(ignored -> usable.set(false));
    }

    @Override
    public BackendAnswer call(
        Operation operation, BackendCall call, long timeoutMillis, BooleanSupplier useless)
        throws BackendException {
      try {
        Buffer body = Buffer.buffer(JSON.writeValueAsBytes(call));
        RequestOptions options =
            new RequestOptions().setMethod(HttpMethod.POST).setURI(operation.path());
        Future<Buffer> answer =
            EventLoopCalls.runOnEventLoop(
                context,
                () ->
                    connection
                        .request(options)
                        .compose(request -> request.send(body))
                        .compose(HttpDatabaseConnector::successBody));
        byte[] received = EventLoopCalls.awaitUnlessCancelled(answer, timeoutMillis, useless).getBytes();
        BackendAnswer parsed = JSON.readValue(received, BackendAnswer.class);
        if (!parsed.call().equals(call.call())) {
          throw new IOException("the answer belongs to call " + parsed.call());
        }
        return parsed;
      } catch (IOException e) {
        usable.set(false);
        throw new BackendException(true, e);
      }
    }

    @Override
    public boolean isUsable() {
      return usable.get();
    }

    @Override
    public void close() {
      usable.set(false);
      connection.close();
    }
  }
}
