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
 * A TCP proxy in front of one address, whose condition can be changed at any time.
 *
 * <p>Bytes that are dropped are lost for good, so a connection that was open during a cut is
 * useless afterwards, as when a device between the two ends has lost track of it.
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
   * Opens a link.
   *
   * @param vertx the Vert.x instance
   * @param target the address behind the link
   */
  public FaultLink(Vertx vertx, String target) {
    this.vertx = vertx;
    this.target = target;
    this.client = vertx.createNetClient();
    this.server = vertx.createNetServer().connectHandler(this::accept);
    try {
      server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    } catch (CompletionException e) {
      throw new IllegalStateException("a loopback port can be bound", e);
    }
  }

  /** Returns the address of the link. */
  public String address() {
    return "127.0.0.1:" + server.actualPort();
  }

  /** Returns the bytes that entered the link in both directions. */
  public long receivedBytes() {
    return receivedBytes.get();
  }

  /**
   * Changes the condition for open and new connections.
   *
   * @param next the new condition
   */
  public void setCondition(LinkCondition next) {
    condition = next;
  }

  /** Makes every open connection silent for good, while new ones work. */
  public void blackholeOpenConnections() {
    connections.forEach(pair -> pair.blackholed = true);
  }

  /** Resets every open connection at both ends; what is under way is lost. */
  public void resetOpenConnections() {
    connections.forEach(ProxiedConnection::reset);
  }

  @Override
  public void close() {
    server.close();
    connections.forEach(ProxiedConnection::close);
  }

  private void accept(NetSocket opener) {
    opener.pause();
    int colon = target.lastIndexOf(':');
    client
        .connect(Integer.parseInt(target.substring(colon + 1)), target.substring(0, colon))
        .onSuccess(
            backend -> {
              ProxiedConnection pair = new ProxiedConnection(opener, backend);
              connections.add(pair);
              pair.start();
              opener.resume();
            })
        .onFailure(e -> opener.close());
  }

  private final class ProxiedConnection {

    private final NetSocket inbound;
    private final NetSocket outbound;
    private long forwardBusyUntilNanos;
    private long backwardBusyUntilNanos;
    private volatile boolean blackholed;

    ProxiedConnection(NetSocket opener, NetSocket backend) {
      this.inbound = opener;
      this.outbound = backend;
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

    /** A socket that does not linger is closed with a reset. */
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
      boolean dropped = forward ? current.dropForward() : current.dropBackward();
      if (blackholed || dropped) {
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

    /** Returns how long the data waits for the bandwidth, in milliseconds. */
    private long bandwidthDelayMillis(Buffer data, LinkCondition current, boolean forward) {
      if (current.bytesPerSecond() == 0) {
        return 0;
      }
      long now = System.nanoTime();
      long cost = data.length() * 1_000_000_000L / current.bytesPerSecond();
      long start = Math.max(now, forward ? forwardBusyUntilNanos : backwardBusyUntilNanos);
      if (forward) {
        forwardBusyUntilNanos = start + cost;
      } else {
        backwardBusyUntilNanos = start + cost;
      }
      return (start + cost - now) / 1_000_000;
    }
  }
}
