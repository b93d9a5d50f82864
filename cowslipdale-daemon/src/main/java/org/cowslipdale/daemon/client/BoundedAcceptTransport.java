package org.cowslipdale.daemon.client;

import static java.util.Objects.requireNonNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.InternetProtocolFamily;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.transport.Transport;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The NIO transport, whose servers accept only as many connections as the event loops keep up with.
 *
 * <p>Connections are accepted on a thread of their own. Clients that connect faster than the event
 * loops take the connections over would use up the descriptors before any limit is checked. The
 * connections above the bound are closed at once.
 */
public final class BoundedAcceptTransport implements Transport {

  private static final int MIN_PENDING = 64;

  /**
   * The bytes of one read from an HTTP connection. The server holds all requests of a read, each of
   * which takes some kilobytes; by default a read has 64 KiB, or a thousand small requests.
   */
  private static final int HTTP_READ_BYTES = 2 << 10;

  private final int maxPending;

  /**
   * Creates a transport.
   *
   * @param maxConnections the maximum number of clients' connections; an eighth of it may wait for
   *     an event loop at each address
   */
  public BoundedAcceptTransport(int maxConnections) {
    this.maxPending = Math.max(MIN_PENDING, maxConnections / 8);
  }

  @Override
  public String name() {
    return "nio";
  }

  @Override
  public boolean available() {
    return true;
  }

  @Override
  public @Nullable Throwable unavailabilityCause() {
    return null;
  }

  @Override
  public io.vertx.core.spi.transport.Transport implementation() {
    return new Implementation(Transport.NIO.implementation(), maxPending);
  }

  private record Implementation(io.vertx.core.spi.transport.Transport nio, int maxPending)
      implements io.vertx.core.spi.transport.Transport {

    @Override
    public IoHandlerFactory ioHandlerFactory() {
      return nio.ioHandlerFactory();
    }

    @Override
    public DatagramChannel datagramChannel() {
      return nio.datagramChannel();
    }

    @Override
    @SuppressWarnings("deprecation")
    public DatagramChannel datagramChannel(InternetProtocolFamily family) {
      return nio.datagramChannel(family);
    }

    @Override
    public ChannelFactory<? extends Channel> channelFactory(boolean domainSocket) {
      return nio.channelFactory(domainSocket);
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
      return domainSocket
          ? nio.serverChannelFactory(true)
          : () -> new BoundedServerChannel(maxPending);
    }

    /** Netty deprecates the option, but Vert.x sets the allocator by it too. */
    @Override
    @SuppressWarnings("deprecation")
    public void configure(
        NetServerOptions options, boolean domainSocket, ServerBootstrap bootstrap) {
      nio.configure(options, domainSocket, bootstrap);
      if (options instanceof HttpServerOptions) {
        bootstrap.childOption(
            ChannelOption.RCVBUF_ALLOCATOR,
            new FixedRecvByteBufAllocator(HTTP_READ_BYTES).maxMessagesPerRead(1));
      }
    }
  }

  /** Accepts connections while few of them wait for an event loop. */
  private static final class BoundedServerChannel extends NioServerSocketChannel {

    private final int maxPending;

    /** The accepted connections that were not registered at an event loop when last looked at. */
    private final Deque<Channel> pending = new ArrayDeque<>();

    BoundedServerChannel(int maxPending) {
      this.maxPending = maxPending;
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
      while (!pending.isEmpty() && isTakenOver(requireNonNull(pending.peek()))) {
        pending.poll();
      }
      int count = super.doReadMessages(accepted);
      if (count <= 0) {
        return count;
      }
      Channel connection = (Channel) accepted.getLast();
      if (pending.size() >= maxPending) {
        accepted.removeLast();
        connection.unsafe().closeForcibly();
        return 0;
      }
      pending.add(connection);
      return count;
    }

    private static boolean isTakenOver(Channel connection) {
      return connection.isRegistered() || !connection.isOpen();
    }
  }
}
