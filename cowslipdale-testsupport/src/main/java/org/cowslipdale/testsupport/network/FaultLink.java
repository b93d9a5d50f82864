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
  private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();
  private final AtomicLong bytes = new AtomicLong();
  private volatile LinkCondition condition = LinkCondition.PERFECT;

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
  public long bytes() {
    return bytes.get();
  }

  /**
   * Changes the condition for open and new connections.
   *
   * @param next the new condition
   */
  public void set(LinkCondition next) {
    condition = next;
  }

  /** Makes every open connection silent for good, while new ones work. */
  public void silenceOpenConnections() {
    pairs.forEach(pair -> pair.silent = true);
  }

  /** Resets every open connection at both ends; what is under way is lost. */
  public void resetOpenConnections() {
    pairs.forEach(Pair::reset);
  }

  @Override
  public void close() {
    server.close();
    pairs.forEach(Pair::close);
  }

  private void accept(NetSocket opener) {
    opener.pause();
    int colon = target.lastIndexOf(':');
    client
        .connect(Integer.parseInt(target.substring(colon + 1)), target.substring(0, colon))
        .onSuccess(
            backend -> {
              Pair pair = new Pair(opener, backend);
              pairs.add(pair);
              pair.start();
              opener.resume();
            })
        .onFailure(e -> opener.close());
  }

  private final class Pair {

    private final NetSocket opener;
    private final NetSocket backend;
    private long forwardFreeNanos;
    private long backwardFreeNanos;
    private volatile boolean silent;

    Pair(NetSocket opener, NetSocket backend) {
      this.opener = opener;
      this.backend = backend;
    }

    void start() {
      opener.handler(data -> pass(data, true));
      backend.handler(data -> pass(data, false));
      opener.exceptionHandler(e -> {});
      backend.exceptionHandler(e -> {});
      opener.closeHandler(ignored -> ended(backend));
      backend.closeHandler(ignored -> ended(opener));
    }

    void close() {
      opener.close();
      backend.close();
    }

    void reset() {
      reset(opener);
      reset(backend);
    }

    /** A socket that does not linger is closed with a reset. */
    private static void reset(NetSocket socket) {
      Channel channel = ((NetSocketInternal) socket).channelHandlerContext().channel();
      channel.eventLoop().execute(() -> resetInLoop(channel));
    }

    private static void resetInLoop(Channel channel) {
      if (channel.isOpen()) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
      }
    }

    private void ended(NetSocket other) {
      pairs.remove(this);
      LinkCondition current = condition;
      if (!silent && !current.dropForward() && !current.dropBackward()) {
        vertx.setTimer(Math.max(1, current.delayMillis() + 1), id -> other.close());
      }
    }

    private void pass(Buffer data, boolean forward) {
      bytes.addAndGet(data.length());
      LinkCondition current = condition;
      boolean dropped = forward ? current.dropForward() : current.dropBackward();
      if (silent || dropped) {
        return;
      }
      NetSocket receiver = forward ? backend : opener;
      long delayMillis = current.delayMillis() + queueMillis(data, current, forward);
      if (delayMillis <= 0) {
        receiver.write(data);
      } else {
        vertx.setTimer(delayMillis, id -> receiver.write(data));
      }
    }

    /** Returns how long the data waits for the bandwidth, in milliseconds. */
    private long queueMillis(Buffer data, LinkCondition current, boolean forward) {
      if (current.bytesPerSecond() == 0) {
        return 0;
      }
      long now = System.nanoTime();
      long cost = data.length() * 1_000_000_000L / current.bytesPerSecond();
      long start = Math.max(now, forward ? forwardFreeNanos : backwardFreeNanos);
      if (forward) {
        forwardFreeNanos = start + cost;
      } else {
        backwardFreeNanos = start + cost;
      }
      return (start + cost - now) / 1_000_000;
    }
  }
}
