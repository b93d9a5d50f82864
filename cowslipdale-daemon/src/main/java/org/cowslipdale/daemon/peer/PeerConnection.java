package org.cowslipdale.daemon.peer;

import static java.util.Objects.requireNonNull;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection that this VM opens to another VM, and opens again whenever it is lost.
 *
 * <p>All mutable state is confined to one event loop. {@link #send}, {@link #request} and {@link
 * #close} may be called from any thread.
 */
final class PeerConnection implements AutoCloseable {

  /** The interval between heartbeats. */
  static final long HEARTBEAT_INTERVAL_MILLIS = 400;

  /** The time without received data after which the opening side replaces the connection. */
  static final long CLIENT_IDLE_TIMEOUT_MILLIS = 1_200;

  /** The time without received data after which the accepting side closes the connection. */
  static final long SERVER_IDLE_TIMEOUT_MILLIS = 3_000;

  private static final Logger LOG = LoggerFactory.getLogger(PeerConnection.class);
  private static final int CONNECT_TIMEOUT_MILLIS = 800;
  private static final long RECONNECT_DELAY_MILLIS = 200;
  private static final int MAX_PENDING_FRAMES = 1_000;

  private final Vertx vertx;
  private final VmClock clock;
  private final String address;
  private final PeerMessage.Hello hello;
  private final PeerTraffic traffic;
  private final Context context;
  private final NetClient client;
  private final List<PeerFrame> pendingFrames = new ArrayList<>();
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private @Nullable NetSocket socket;
  private boolean connecting;
  private boolean closed;
  private long lastReceivedMillis;
  private long nextConnectMillis;

  /** The number of sockets opened so far. Close events of earlier sockets are ignored. */
  private long socketGeneration;

  private long lastCorrelationId;

  /** A request that has not been answered. */
  private record PendingRequest(CompletableFuture<PeerMessage> reply) {}

  PeerConnection(
      Vertx vertx, VmClock clock, String address, PeerMessage.Hello hello, PeerTraffic traffic) {
    this.vertx = requireNonNull(vertx, "vertx");
    this.clock = requireNonNull(clock, "clock");
    this.address = requireNonNull(address, "address");
    this.hello = requireNonNull(hello, "hello");
    this.traffic = requireNonNull(traffic, "traffic");
    this.context = vertx.getOrCreateContext();
    this.client =
        vertx.createNetClient(
            new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setTcpNoDelay(true));
    context.runOnContext(
        ignored ->
            vertx.setPeriodic(
                HEARTBEAT_INTERVAL_MILLIS,
                HEARTBEAT_INTERVAL_MILLIS,
                this::sendHeartbeatOrReconnect));
  }

  String address() {
    return address;
  }

  /** Sends a message that expects no reply. The message is lost if the VM cannot be reached. */
  void send(PeerMessage message) {
    context.runOnContext(ignored -> write(new PeerFrame(0, false, message)));
  }

  /**
   * Sends a message that expects a reply.
   *
   * @param message the message
   * @param timeoutMillis how long to wait for the reply, in milliseconds; at least one millisecond
   *     is waited
   * @return a future completed with the reply, or with an {@link IOException}
   */
  CompletableFuture<PeerMessage> request(PeerMessage message, long timeoutMillis) {
    CompletableFuture<PeerMessage> reply = new CompletableFuture<>();
    context.runOnContext(
        ignored -> {
          long correlationId = ++lastCorrelationId;
          PendingRequest pendingRequest = new PendingRequest(reply);
          pendingRequests.put(correlationId, pendingRequest);
          vertx.setTimer(
              Math.max(1, timeoutMillis),
              id -> fail(pendingRequests.remove(correlationId), "the request timed out"));
          write(new PeerFrame(correlationId, false, message));
        });
    return reply;
  }

  @Override
  public void close() {
    context.runOnContext(
        ignored -> {
          closed = true;
          disconnect("the connection is closed");
        });
  }

  private void write(PeerFrame frame) {
    if (closed) {
      return;
    }
    if (socket != null) {
      writeTo(socket, frame);
      return;
    }
    if (pendingFrames.size() < MAX_PENDING_FRAMES) {
      pendingFrames.add(frame);
    }
    connect();
  }

  private void connect() {
    if (connecting || closed || clock.millis() < nextConnectMillis) {
      return;
    }
    connecting = true;
    int colon = address.lastIndexOf(':');
    client
        .connect(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon))
        .onComplete(
            opened -> context.runOnContext(ignored -> onConnected(opened)),
            failure -> context.runOnContext(ignored -> onConnectFailed()));
  }

  private void onConnected(NetSocket opened) {
    connecting = false;
    if (closed) {
      opened.close();
      return;
    }
    socket = opened;
    long generation = ++socketGeneration;
    lastReceivedMillis = clock.millis();
    opened.exceptionHandler(e -> opened.close());
    opened.closeHandler(ignored -> context.runOnContext(v -> onSocketClosed(generation)));
    opened.handler(
        FrameCodec.parser(
            payload -> context.runOnContext(ignored -> handlePayload(payload)), opened::close));
    writeTo(opened, new PeerFrame(0, false, hello));
    pendingFrames.forEach(frame -> writeTo(opened, frame));
    pendingFrames.clear();
  }

  private void onConnectFailed() {
    connecting = false;
    nextConnectMillis = clock.millis() + RECONNECT_DELAY_MILLIS;
    pendingFrames.clear();
    failPendingRequests("the VM is unreachable");
  }

  private void onSocketClosed(long closedGeneration) {
    if (socketGeneration == closedGeneration && socket != null) {
      disconnect("the connection is lost");
    }
  }

  private void disconnect(String reason) {
    NetSocket closing = socket;
    socket = null;
    if (closing != null) {
      closing.close();
    }
    failPendingRequests(reason);
  }

  private void sendHeartbeatOrReconnect(long timer) {
    if (closed) {
      vertx.cancelTimer(timer);
      return;
    }
    if (socket == null) {
      return;
    }
    if (clock.millis() - lastReceivedMillis > CLIENT_IDLE_TIMEOUT_MILLIS) {
      LOG.info("replacing the connection to {}: no data received within the idle timeout", address);
      disconnect("the connection timed out");
      connect();
      return;
    }
    traffic.recordSent(PeerTraffic.HEARTBEAT, FrameCodec.heartbeat().length());
    socket.write(FrameCodec.heartbeat());
  }

  private void handlePayload(Buffer payload) {
    lastReceivedMillis = clock.millis();
    if (payload.length() == 0) {
      return;
    }
    try {
      PeerFrame frame = FrameCodec.decode(payload);
      PendingRequest pendingRequest = pendingRequests.remove(frame.correlationId());
      if (pendingRequest != null) {
        pendingRequest.reply().complete(frame.message());
      }
    } catch (IOException e) {
      LOG.warn("closing a peer connection: a message cannot be decoded: {}", e.getMessage());
      disconnect("a message cannot be decoded");
    }
  }

  private void writeTo(NetSocket target, PeerFrame frame) {
    try {
      Buffer encoded = FrameCodec.encode(frame);
      traffic.recordSent(frame.message(), encoded.length());
      target.write(encoded);
    } catch (IOException e) {
      throw new IllegalStateException("a peer message cannot be encoded", e);
    }
  }

  private void failPendingRequests(String reason) {
    List<PendingRequest> failed = List.copyOf(pendingRequests.values());
    pendingRequests.clear();
    failed.forEach(pendingRequest -> fail(pendingRequest, reason));
  }

  private static void fail(@Nullable PendingRequest pendingRequest, String reason) {
    if (pendingRequest != null) {
      pendingRequest.reply().completeExceptionally(new IOException(reason));
    }
  }
}
