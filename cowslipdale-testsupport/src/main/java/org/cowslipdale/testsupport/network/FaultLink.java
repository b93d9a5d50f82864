package org.cowslipdale.testsupport.network;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP proxy in front of one address, with a {@link LinkCondition} that can be changed at any
 * time.
 *
 * <p>Dropped bytes are not sent again. A connection that lost bytes is unusable afterwards, as if a
 * stateful network device between its two ends had removed its entry for the connection.
 */
public final class FaultLink implements AutoCloseable {

  private final Vertx vertx;
  private final String target;
  private final NetServer server;
  private final NetClient client;
  private final Set<ProxiedConnection> connections = ConcurrentHashMap.newKeySet();
  private final AtomicLong receivedBytes = new AtomicLong();
  private volatile LinkCondition condition = LinkCondition.NO_FAULTS;

  /**
   * Creates a link and binds it to a free loopback port.
   *
   * @param vertx the Vert.x instance
   * @param target the address to which the link forwards connections, {@code HOST:PORT}
   */
  public FaultLink(Vertx vertx, String target) {
    this.vertx = vertx;
    this.target = target;
    this.client = vertx.createNetClient();
    this.server = vertx.createNetServer().connectHandler(this::accept);
    try {
      server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    } catch (CompletionException e) {
      throw new IllegalStateException("cannot bind a loopback port", e);
    }
  }

  /** Returns the address on which the link accepts connections. */
  public String address() {
    return "127.0.0.1:" + server.actualPort();
  }

  /** Returns the number of bytes received in both directions, including dropped ones. */
  public long receivedBytes() {
    return receivedBytes.get();
  }

  /**
   * Sets the condition of open and new connections.
   *
   * @param next the new condition
   */
  public void setCondition(LinkCondition next) {
    condition = next;
  }

  /** Drops all further bytes of the connections that are open now; new connections work. */
  public void blackholeOpenConnections() {
    connections.forEach(connection -> connection.blackholed = true);
  }

  /** Resets every open connection at both ends; bytes in transit are lost. */
  public void resetOpenConnections() {
    connections.forEach(ProxiedConnection::reset);
  }

  @Override
  public void close() {
    server.close();
    connections.forEach(ProxiedConnection::close);
  }

  private void accept(NetSocket inbound) {
    inbound.pause();
    int colon = target.lastIndexOf(':');
    client
        .connect(Integer.parseInt(target.substring(colon + 1)), target.substring(0, colon))
        .onSuccess(
            outbound -> {
              ProxiedConnection connection = new ProxiedConnection(inbound, outbound);
              connections.add(connection);
              connection.start();
              inbound.resume();
            })
        .onFailure(e -> inbound.close());
  }

  /** A connection to the link together with its connection to the target. */
  private final class ProxiedConnection {

    private final NetSocket inbound;
    private final NetSocket outbound;
    private long forwardBusyUntilNanos;
    private long backwardBusyUntilNanos;
    private volatile boolean blackholed;

    ProxiedConnection(NetSocket inbound, NetSocket outbound) {
      this.inbound = inbound;
      this.outbound = outbound;
    }

    void start() {
      inbound.handler(data -> relay(data, true));
      outbound.handler(data -> relay(data, false));
      inbound.exceptionHandler(e -> {});
      outbound.exceptionHandler(e -> {});
      inbound.closeHandler(ignored -> handleClose(outbound));
      outbound.closeHandler(ignored -> handleClose(inbound));
    }

    void close() {
      inbound.close();
      outbound.close();
    }

    void reset() {
      reset(inbound);
      reset(outbound);
    }

    /** Closes a socket with a TCP reset, which a linger time of zero causes. */
    private static void reset(NetSocket socket) {
      Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
      channel.eventLoop().execute(() -> resetOnEventLoop(channel));
    }

    private static void resetOnEventLoop(Channel channel) {
      if (channel.isOpen()) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
      }
    }

    private void handleClose(NetSocket other) {
      connections.remove(this);
      LinkCondition current = condition;
      if (!blackholed && !current.dropForward() && !current.dropBackward()) {
        vertx.setTimer(Math.max(1, current.delayMillis() + 1), id -> other.close());
      }
    }

    private void relay(Buffer data, boolean forward) {
      receivedBytes.addAndGet(data.length());
      LinkCondition current = condition;
      boolean drop = forward ? current.dropForward() : current.dropBackward();
      if (blackholed || drop) {
        return;
      }
      NetSocket receiver = forward ? outbound : inbound;
      long delayMillis = current.delayMillis() + bandwidthDelayMillis(data, current, forward);
      if (delayMillis <= 0) {
        receiver.write(data);
      } else {
        vertx.setTimer(delayMillis, id -> receiver.write(data));
      }
    }

    /** Returns the delay of the data that results from the limited bandwidth, in milliseconds. */
    private long bandwidthDelayMillis(Buffer data, LinkCondition current, boolean forward) {
      if (current.bytesPerSecond() == 0) {
        return 0;
      }
      long now = System.nanoTime();
      long transmissionNanos = data.length() * 1_000_000_000L / current.bytesPerSecond();
      long start = Math.max(now, forward ? forwardBusyUntilNanos : backwardBusyUntilNanos);
      if (forward) {
        forwardBusyUntilNanos = start + transmissionNanos;
      } else {
        backwardBusyUntilNanos = start + transmissionNanos;
      }
      return (start + transmissionNanos - now) / 1_000_000;
    }
  }
}
