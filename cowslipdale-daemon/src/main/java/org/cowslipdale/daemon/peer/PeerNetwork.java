package org.cowslipdale.daemon.peer;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.cowslipdale.daemon.client.ClientConnection;
import org.cowslipdale.daemon.client.ClientGuard;
import org.cowslipdale.daemon.client.ClientGuard.Port;
import org.cowslipdale.daemon.version.VmClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends messages to other VMs over TCP and receives theirs.
 *
 * <p>Connections are opened when needed and carry heartbeats in both directions. A connection on
 * which no data arrives within the idle timeout is replaced, even if TCP reports no error. This
 * class is thread-safe.
 */
public final class PeerNetwork implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PeerNetwork.class);

  private final String localVm;
  private final String proof;
  private final Vertx vertx;
  private final VmClock clock;
  private final Function<String, Optional<String>> addressLookup;
  private final PeerTraffic traffic;
  private final ClientGuard guard;
  private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
  private final AtomicLong lastConnectionId = new AtomicLong();
  private volatile PeerHandler handler = (from, message, reply) -> {};
  private final NetServer server;

  /**
   * Creates a network.
   *
   * @param localVm the name of this VM
   * @param clusterSecret the secret shared by all VMs; empty if the network is trusted
   * @param vertx the Vert.x instance whose event loops do the I/O
   * @param clock the clocks of this VM
   * @param addressLookup returns the address of a VM by its name
   * @param traffic counts the bytes sent
   * @param guard admits connections before their handshake
   */
  public PeerNetwork(
      String localVm,
      String clusterSecret,
      Vertx vertx,
      VmClock clock,
      Function<String, Optional<String>> addressLookup,
      PeerTraffic traffic,
      ClientGuard guard) {
    this.localVm = requireNonNull(localVm, "localVm");
    this.proof = createProof(clusterSecret);
    this.vertx = requireNonNull(vertx, "vertx");
    this.clock = requireNonNull(clock, "clock");
    this.addressLookup = requireNonNull(addressLookup, "addressLookup");
    this.traffic = requireNonNull(traffic, "traffic");
    this.guard = requireNonNull(guard, "guard");
    this.server =
        vertx
            .createNetServer(new NetServerOptions().setTcpNoDelay(true))
            .connectHandler(this::accept);
  }

  /**
   * Binds the address and starts to accept connections.
   *
   * @param address the address to bind
   * @param receiver handles the messages of other VMs
   */
  public Future<Void> listen(String address, PeerHandler receiver) {
    this.handler = receiver;
    int colon = address.lastIndexOf(':');
    return server
        .listen(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon))
        .mapEmpty();
  }

  /**
   * Sends a message that expects no reply. The message is lost if the VM cannot be reached.
   *
   * @param vm the name of the recipient
   * @param message the message
   */
  public void send(String vm, PeerMessage message) {
    connectionTo(vm).ifPresent(connection -> connection.send(message));
  }

  /**
   * Sends a message that expects a reply.
   *
   * @param vm the name of the recipient
   * @param message the message
   * @param timeoutMillis how long to wait for the reply, in milliseconds
   * @return a future completed with the reply, or with an {@link IOException}
   */
  public CompletableFuture<PeerMessage> request(
      String vm, PeerMessage message, long timeoutMillis) {
    Optional<PeerConnection> connection = connectionTo(vm);
    if (connection.isEmpty()) {
      return CompletableFuture.failedFuture(new IOException("VM " + vm + " is unknown"));
    }
    return connection.get().request(message, timeoutMillis);
  }

  @Override
  public void close() {
    server.close();
    connections.values().forEach(PeerConnection::close);
  }

  private Optional<PeerConnection> connectionTo(String vm) {
    Optional<String> address = addressLookup.apply(vm);
    if (address.isEmpty()) {
      return Optional.empty();
    }
    PeerConnection existing = connections.get(vm);
    if (existing != null && existing.address().equals(address.get())) {
      return Optional.of(existing);
    }
    return Optional.of(
        connections.compute(
            vm,
            (name, current) -> {
              if (current != null && current.address().equals(address.get())) {
                return current;
              }
              if (current != null) {
                current.close();
              }
              PeerMessage.Hello hello = new PeerMessage.Hello(localVm, proof);
              return new PeerConnection(vertx, clock, address.get(), hello, traffic);
            }));
  }

  private void accept(NetSocket socket) {
    guard
        .accept(Port.PEERS, socket::close)
        .ifPresentOrElse(
            connection -> new AcceptedConnection(socket, connection).start(), socket::close);
  }

  /** A connection that another VM opened. It must authenticate before its messages are handled. */
  private final class AcceptedConnection {

    private final NetSocket socket;
    private final long id = lastConnectionId.incrementAndGet();

    /** Counts the connection until the handshake. */
    private final ClientConnection connection;

    private final FrameCodec.FrameLimit frameLimit = new FrameCodec.FrameLimit();
    private long lastReceivedMillis;

    /** The name of the VM that opened the connection; empty until it is authenticated. */
    private String sender = "";

    AcceptedConnection(NetSocket socket, ClientConnection connection) {
      this.socket = socket;
      this.connection = connection;
    }

    void start() {
      lastReceivedMillis = clock.millis();
      socket.exceptionHandler(e -> socket.close());
      socket.handler(FrameCodec.parser(this::handlePayload, socket::close, frameLimit));
      long timer = vertx.setPeriodic(PeerConnection.HEARTBEAT_INTERVAL_MILLIS, id -> closeIfIdle());
      socket.closeHandler(
          ignored -> {
            vertx.cancelTimer(timer);
            handler.handleDisconnect(id);
            connection.end();
          });
    }

    private void closeIfIdle() {
      if (clock.millis() - lastReceivedMillis > PeerConnection.SERVER_IDLE_TIMEOUT_MILLIS) {
        socket.close();
      }
    }

    private void handlePayload(Buffer payload) {
      lastReceivedMillis = clock.millis();
      if (payload.length() == 0) {
        if (sender.isEmpty()) {
          socket.close();
          return;
        }
        if (socket.writeQueueFull()) {
          // The VM reads nothing, or too slowly to need a further heartbeat.
          return;
        }
        traffic.recordSent(PeerTraffic.HEARTBEAT, FrameCodec.heartbeat().length());
        socket.write(FrameCodec.heartbeat());
        return;
      }
      try {
        PeerFrame frame = FrameCodec.decode(payload);
        if (frame.message() instanceof PeerMessage.Hello hello) {
          authenticate(hello);
        } else if (sender.isEmpty()) {
          socket.close();
        } else {
          handler.handle(sender, frame.message(), new FrameReplyChannel(this, frame));
        }
      } catch (IOException e) {
        LOG.warn("closing a peer connection: a message cannot be decoded: {}", e.getMessage());
        socket.close();
      }
    }

    private void authenticate(PeerMessage.Hello hello) {
      if (MessageDigest.isEqual(hello.proof().getBytes(UTF_8), proof.getBytes(UTF_8))) {
        sender = hello.vm();
        frameLimit.raise();
        connection.end();
      } else {
        LOG.warn("closing a peer connection from {}: wrong cluster secret", hello.vm());
        socket.close();
      }
    }

    private CompletionStage<Void> reply(PeerFrame request, PeerMessage message) {
      if (request.correlationId() == 0) {
        return CompletableFuture.completedFuture(null);
      }
      try {
        Buffer encoded = FrameCodec.encode(new PeerFrame(request.correlationId(), true, message));
        traffic.recordSent(message, encoded.length());
        return socket.write(encoded).toCompletionStage();
      } catch (IOException e) {
        throw new IllegalStateException("a peer message cannot be encoded", e);
      }
    }
  }

  /** Sends the reply to one frame over the connection on which the frame arrived. */
  private record FrameReplyChannel(AcceptedConnection connection, PeerFrame request)
      implements PeerHandler.ReplyChannel {

    @Override
    public CompletionStage<Void> send(PeerMessage message) {
      return connection.reply(request, message);
    }

    @Override
    public long connectionId() {
      return connection.id;
    }
  }

  /**
   * Creates the proof that this VM knows the cluster secret. Without a secret the network is
   * trusted and the proof is empty.
   */
  private static String createProof(String clusterSecret) {
    if (clusterSecret.isEmpty()) {
      return "";
    }
    try {
      Mac mac = Mac.getInstance("HmacSHA256");
      mac.init(new SecretKeySpec(clusterSecret.getBytes(UTF_8), "HmacSHA256"));
      return HexFormat.of().formatHex(mac.doFinal("cowslipdale peer v1".getBytes(UTF_8)));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("HmacSHA256 is not available", e);
    }
  }
}
