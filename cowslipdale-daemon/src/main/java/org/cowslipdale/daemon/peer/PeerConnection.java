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
import java.util.concurrent.atomic.AtomicLong;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The connection that this VM opened to another one; reopened as often as necessary.
 *
 * <p>All state belongs to one event loop; the public methods may be called from any thread.
 */
final class PeerConnection implements AutoCloseable {

  /** How often a heartbeat is sent. */
  static final long HEARTBEAT_INTERVAL_MILLIS = 400;

  /** How long the opening side tolerates silence before it replaces the connection. */
  static final long CLIENT_IDLE_TIMEOUT_MILLIS = 1_200;

  /** How long the accepting side tolerates silence before it closes the connection. */
  static final long SERVER_IDLE_TIMEOUT_MILLIS = 3_000;

  private static final Logger LOG = LoggerFactory.getLogger(PeerConnection.class);
  private static final int CONNECT_TIMEOUT_MILLIS = 800;
  private static final long RECONNECT_DELAY_MILLIS = 200;
  private static final int MAX_PENDING_FRAMES = 1_000;

  private final Vertx vertx;
  private final VmClock clock;
  private final String address;
  private final PeerMessage.Hello hello;
  private final AtomicLong sentBytes;
  private final Context context;
  private final NetClient client;
  private final List<PeerFrame> pendingFrames = new ArrayList<>();
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private @Nullable NetSocket socket;
  private boolean connecting;
  private boolean closed;
  private long lastReceivedMillis;
  private long nextConnectMillis;
  private long socketGeneration;
  private long lastCorrelationId;

  private record PendingRequest(CompletableFuture<PeerMessage> reply) {}

  PeerConnection(
      Vertx vertx, VmClock clock, String address, PeerMessage.Hello hello, AtomicLong sentBytes) {
    this.vertx = requireNonNull(vertx, "vertx");
    this.clock = requireNonNull(clock, "clock");
    this.address = requireNonNull(address, "address");
    this.hello = requireNonNull(hello, "hello");
    this.sentBytes = requireNonNull(sentBytes, "sentBytes");
    this.context = vertx.getOrCreateContext();
    this.client =
        vertx.createNetClient(
            new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setTcpNoDelay(true));
    context.runOnContext(
        ignored -> vertx.setPeriodic(HEARTBEAT_INTERVAL_MILLIS, HEARTBEAT_INTERVAL_MILLIS, this::sendHeartbeatOrReconnect));
  }

  String address() {
    return address;
  }

  void send(PeerMessage message) {
    context.runOnContext(ignored -> write(new PeerFrame(0, false, message)));
  }

  CompletableFuture<PeerMessage> request(PeerMessage message, long timeoutMillis) {
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    context.runOnContext(
        ignored -> {
          long correlation = ++lastCorrelationId;
          PendingRequest question = new PendingRequest(answer);
          pendingRequests.put(correlation, question);
          vertx.setTimer(
              Math.max(1, timeoutMillis),
              id -> fail(pendingRequests.remove(correlation), "no answer in time"));
          write(new PeerFrame(correlation, false, message));
        });
    return answer;
  }

  @Override
  public void close() {
    context.runOnContext(
        ignored -> {
          closed = true;
          disconnect("closed");
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
    long current = ++socketGeneration;
    lastReceivedMillis = clock.millis();
    opened.exceptionHandler(e -> opened.close());
    opened.closeHandler(ignored -> context.runOnContext(v -> onSocketClosed(current)));
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
    failPendingRequests("VM unreachable");
  }

  private void onSocketClosed(long lostGeneration) {
    if (socketGeneration == lostGeneration && socket != null) {
      disconnect("connection lost");
    }
  }

  private void disconnect(String reason) {
    NetSocket old = socket;
    socket = null;
    if (old != null) {
      old.close();
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
      LOG.info("replacing the silent connection to {}", address);
      disconnect("connection silent");
      connect();
      return;
    }
    sentBytes.addAndGet(FrameCodec.heartbeat().length());
    socket.write(FrameCodec.heartbeat());
  }

  private void handlePayload(Buffer payload) {
    lastReceivedMillis = clock.millis();
    if (payload.length() == 0) {
      return;
    }
    try {
      PeerFrame frame = FrameCodec.decode(payload);
      PendingRequest question = pendingRequests.remove(frame.correlationId());
      if (question != null) {
        question.reply().complete(frame.message());
      }
    } catch (IOException e) {
      LOG.warn("closing a connection with an unreadable message: {}", e.getMessage());
      disconnect("unreadable message");
    }
  }

  private void writeTo(NetSocket target, PeerFrame frame) {
    try {
      Buffer encoded = FrameCodec.encode(frame);
      sentBytes.addAndGet(encoded.length());
      target.write(encoded);
    } catch (IOException e) {
      throw new IllegalStateException("peer messages can be encoded", e);
    }
  }

  private void failPendingRequests(String reason) {
    List<PendingRequest> open = List.copyOf(pendingRequests.values());
    pendingRequests.clear();
    open.forEach(question -> fail(question, reason));
  }

  private static void fail(@Nullable PendingRequest question, String reason) {
    if (question != null) {
      question.reply().completeExceptionally(new IOException(reason));
    }
  }
}
