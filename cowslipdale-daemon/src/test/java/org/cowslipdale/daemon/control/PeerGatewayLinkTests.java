package org.cowslipdale.daemon.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cowslipdale.core.gateway.GatewayReply;
import org.cowslipdale.core.gateway.GatewayRequest;
import org.cowslipdale.daemon.client.TestGuards;
import org.cowslipdale.daemon.peer.PeerHandler;
import org.cowslipdale.daemon.peer.PeerMessage;
import org.cowslipdale.daemon.peer.PeerNetwork;
import org.cowslipdale.daemon.peer.PeerTraffic;
import org.cowslipdale.daemon.version.VmClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests requests to gateways over real connections between two VMs. */
class PeerGatewayLinkTests {

  private static final long TIMEOUT_MILLIS = 5_000;

  private final Vertx vertx = Vertx.vertx();
  private final LinkedBlockingQueue<Long> messages = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<Long> disconnects = new LinkedBlockingQueue<>();
  private String address = "";
  private final PeerNetwork gateway = network("gateway");
  private final PeerNetwork requester = network("requester");
  private final PeerGatewayLink link =
      new PeerGatewayLink(new ControlLink("requester", requester, Set.of()));

  @BeforeEach
  void listen() throws Exception {
    address = "127.0.0.1:" + freePort();
    gateway
        .listen(address, new Gateway())
        .toCompletionStage()
        .toCompletableFuture()
        .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  @AfterEach
  void close() throws Exception {
    requester.close();
    gateway.close();
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  @Test
  void replyReachesTheRequester() throws Exception {
    assertThat(await(1), is(new GatewayReply.Acquired()));
  }

  /** Guards against handles that stay open after the death of their requester. */
  @Test
  void gatewayNoticesTheEndOfTheConnectionOfTheMessages() throws Exception {
    await(1);
    await(2);
    requester.close();

    Long connectionId = messages.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertThat(messages.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(connectionId));
    assertThat(disconnects.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(connectionId));
  }

  /** Guards against a request to a dead gateway that is held until its time limit. */
  @Test
  void requestToAVmThatDoesNotListenFailsBeforeItsTimeLimit() {
    gateway.close();
    long startedNanos = System.nanoTime();

    ExecutionException failure = assertThrows(ExecutionException.class, () -> await(1));

    assertThat(failure.getCause() instanceof IOException, is(true));
    assertThat(
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos),
        lessThan(TIMEOUT_MILLIS - 1_000));
  }

  private GatewayReply await(long handle) throws Exception {
    return link.request("gateway", new GatewayRequest.Await(handle), TIMEOUT_MILLIS)
        .get(TIMEOUT_MILLIS * 2, TimeUnit.MILLISECONDS);
  }

  private PeerNetwork network(String name) {
    return new PeerNetwork(
        name,
        "secret",
        vertx,
        new VmClock(),
        vm -> Optional.of(address),
        new PeerTraffic(new SimpleMeterRegistry()),
        TestGuards.create(vertx));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  private final class Gateway implements PeerHandler {

    @Override
    public void handle(String sender, PeerMessage message, ReplyChannel reply) {
      messages.add(reply.connectionId());
      reply.send(new PeerMessage.GatewayAnswer(new GatewayReply.Acquired()));
    }

    @Override
    public void handleDisconnect(long connectionId) {
      disconnects.add(connectionId);
    }
  }
}
