package org.cowslipdale.daemon.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipdale.core.view.View;
import org.cowslipdale.daemon.client.TestGuards;
import org.cowslipdale.daemon.peer.PeerMessage;
import org.cowslipdale.daemon.peer.PeerNetwork;
import org.cowslipdale.daemon.peer.PeerTraffic;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the demands for permits that the VMs of a large fleet send to the control leader. */
class FleetPermitsTests {

  private static final String SERVER = "bonds-1";
  private static final int CAPACITY = 80;

  /** A VM sends at most 2 KB a second for control, which is 10 messages of 200 bytes. */
  private static final int MAX_MESSAGES_PER_SECOND = 10;

  private final VmClock clock = new VmClock();
  private final Vertx vertx = Vertx.vertx();
  private final List<PeerNetwork> networks = new ArrayList<>();
  private final List<Thread> statements = new ArrayList<>();
  private final AtomicInteger messages = new AtomicInteger();
  private volatile boolean stopped;

  @AfterEach
  void close() throws Exception {
    stopped = true;
    for (Thread statement : statements) {
      statement.join();
    }
    networks.forEach(PeerNetwork::close);
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  /**
   * Guards against a control leader that is overloaded by demands for permits and answers none in
   * time: the number of demands must follow from the number of VMs, not of waiting statements.
   */
  @ParameterizedTest
  @CsvSource({"87, 4, 300", "87, 12, 300", "9, 40, 300", "87, 4, 0"})
  void waitingStatementsOfVmShareDemand(int vms, int statementsPerVm, int answerMillis)
      throws Exception {
    for (int i = 0; i < vms; i++) {
      FleetPermits permits = createPermits("vm" + i, answerMillis);
      for (int j = 0; j < statementsPerVm; j++) {
        statements.add(Thread.startVirtualThread(() -> requestUntilStopped(permits)));
      }
    }
    Thread.sleep(500);
    messages.set(0);
    Thread.sleep(1_000);

    assertThat(messages.get(), is(greaterThan(0)));
    assertThat(messages.get(), is(lessThanOrEqualTo(vms * MAX_MESSAGES_PER_SECOND)));
  }

  private void requestUntilStopped(FleetPermits permits) {
    while (!stopped) {
      if (!permits.tryUse(SERVER, 0)) {
        permits.requestPermit(SERVER, CAPACITY);
      }
    }
  }

  private FleetPermits createPermits(String vm, int answerMillis) {
    PeerNetwork network =
        new PeerNetwork(
            vm,
            "",
            vertx,
            clock,
            name -> Optional.empty(),
            new PeerTraffic(new SimpleMeterRegistry()),
            TestGuards.create(vertx));
    networks.add(network);
    ControlLink link = new ControlLink(vm, network, Set.of(vm));
    link.setLocalHandler(
        (from, message, reply) -> {
          if (message instanceof PeerMessage.PermitRequest) {
            messages.incrementAndGet();
            CompletableFuture.delayedExecutor(answerMillis, TimeUnit.MILLISECONDS)
                .execute(() -> reply.send(new PeerMessage.PermitReply(false)));
          }
        });
    ViewHolder views = new ViewHolder(clock.millis());
    views.publish(View.EMPTY, clock.millis() + 60_000, 87, clock.millis());
    return new FleetPermits(link, views, clock);
  }
}
