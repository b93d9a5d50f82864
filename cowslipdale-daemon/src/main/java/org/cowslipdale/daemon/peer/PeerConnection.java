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
  static final long HEARTBEAT_MILLIS = 400;

  /** How long the opening side tolerates silence before it replaces the connection. */
  static final long CLIENT_SILENCE_MILLIS = 1_200;

  /** How long the accepting side tolerates silence before it closes the connection. */
  static final long SERVER_SILENCE_MILLIS = 3_000;

  private static final Logger LOG = LoggerFactory.getLogger(PeerConnection.class);
  private static final int CONNECT_TIMEOUT_MILLIS = 800;
  private static final long RECONNECT_MILLIS = 200;
  private static final int MAX_PENDING = 1_000;

  private final Vertx vertx;
  private final VmClock clock;
  private final String address;
  private final PeerMessage.Hello hello;
  private final AtomicLong sentBytes;
  private final Context context;
  private final NetClient client;
  private final List<PeerFrame> pending = new ArrayList<>();
  private final Map<Long, Question> questions = new HashMap<>();
  private @Nullable NetSocket socket;
  private boolean connecting;
  private boolean closed;
  private long heardMillis;
  private long retryMillis;
  private long generation;
  private long lastCorrelation;

  private record Question(CompletableFuture<PeerMessage> answer) {}

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
        ignored -> vertx.setPeriodic(HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, this::tick));
  }

  String address() {
    return address;
  }

  void send(PeerMessage message) {
    context.runOnContext(ignored -> write(new PeerFrame(0, false, message)));
  }

  CompletableFuture<PeerMessage> ask(PeerMessage message, long timeoutMillis) {
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    context.runOnContext(
        ignored -> {
          long correlation = ++lastCorrelation;
          Question question = new Question(answer);
          questions.put(correlation, question);
          vertx.setTimer(
              Math.max(1, timeoutMillis),
              id -> fail(questions.remove(correlation), "no answer in time"));
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
    if (pending.size() < MAX_PENDING) {
      pending.add(frame);
    }
    connect();
  }

  private void connect() {
    if (connecting || closed || clock.millis() < retryMillis) {
      return;
    }
    connecting = true;
    int colon = address.lastIndexOf(':');
    client
        .connect(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon))
        .onComplete(
            opened -> context.runOnContext(ignored -> connected(opened)),
            failure -> context.runOnContext(ignored -> notConnected()));
  }

  private void connected(NetSocket opened) {
    connecting = false;
    if (closed) {
      opened.close();
      return;
    }
    socket = opened;
    long current = ++generation;
    heardMillis = clock.millis();
    opened.exceptionHandler(e -> opened.close());
    opened.closeHandler(ignored -> context.runOnContext(v -> lost(current)));
    opened.handler(
        FrameCodec.parser(
            payload -> context.runOnContext(ignored -> payload(payload)), opened::close));
    writeTo(opened, new PeerFrame(0, false, hello));
    pending.forEach(frame -> writeTo(opened, frame));
    pending.clear();
  }

  private void notConnected() {
    connecting = false;
    retryMillis = clock.millis() + RECONNECT_MILLIS;
    pending.clear();
    failAll("VM unreachable");
  }

  private void lost(long lostGeneration) {
    if (generation == lostGeneration && socket != null) {
      disconnect("connection lost");
    }
  }

  private void disconnect(String reason) {
    NetSocket old = socket;
    socket = null;
    if (old != null) {
      old.close();
    }
    failAll(reason);
  }

  private void tick(long timer) {
    if (closed) {
      vertx.cancelTimer(timer);
      return;
    }
    if (socket == null) {
      return;
    }
    if (clock.millis() - heardMillis > CLIENT_SILENCE_MILLIS) {
      LOG.info("replacing the silent connection to {}", address);
      disconnect("connection silent");
      connect();
      return;
    }
    sentBytes.addAndGet(FrameCodec.heartbeat().length());
    socket.write(FrameCodec.heartbeat());
  }

  private void payload(Buffer payload) {
    heardMillis = clock.millis();
    if (payload.length() == 0) {
      return;
    }
    try {
      PeerFrame frame = FrameCodec.decode(payload);
      Question question = questions.remove(frame.correlation());
      if (question != null) {
        question.answer().complete(frame.message());
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

  private void failAll(String reason) {
    List<Question> open = List.copyOf(questions.values());
    questions.clear();
    open.forEach(question -> fail(question, reason));
  }

  private static void fail(@Nullable Question question, String reason) {
    if (question != null) {
      question.answer().completeExceptionally(new IOException(reason));
    }
  }
}
