package org.cowslipdale.daemon.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cowslipdale.daemon.client.TestGuards;
import org.cowslipdale.daemon.peer.PeerMessage;
import org.cowslipdale.daemon.peer.PeerNetwork;
import org.cowslipdale.daemon.peer.PeerTraffic;
import org.cowslipdale.daemon.version.VmClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ControlLinkTests {

  private static final String SELF = "vm1";
  private static final long TIMEOUT_MILLIS = 50;

  private final Vertx vertx = Vertx.vertx();
  private final PeerNetwork network =
      new PeerNetwork(
          SELF,
          "",
          vertx,
          new VmClock(),
          vm -> Optional.empty(),
          new PeerTraffic(new SimpleMeterRegistry()),
          TestGuards.create(vertx));
  private final ControlLink link = new ControlLink(SELF, network, Set.of(SELF));

  @AfterEach
  void close() throws Exception {
    network.close();
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  /**
   * Guards against requests that wait for ever. A control leader that loses its lead does not reply
   * to the demands that it holds, its own VM's included.
   */
  @Test
  void requestToOwnVmTimesOutWithoutReply() {
    CompletableFuture<PeerMessage> reply =
        link.request(SELF, new PeerMessage.DocumentQuery(), TIMEOUT_MILLIS);

    ExecutionException failure =
        assertThrows(ExecutionException.class, () -> reply.get(2, TimeUnit.SECONDS));
    assertThat(failure.getCause(), instanceOf(TimeoutException.class));
  }
}
