package org.cowslipdale.daemon.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cowslipdale.core.gateway.GatewayReply;
import org.cowslipdale.core.gateway.GatewayRequest;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.statement.Statement;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the gateway side: handles, their bound and their expiry. */
class GatewayServiceTests {

  private static final long CONNECTION = 1;

  private final GatewayFixture fixture = new GatewayFixture();
  private final FakeServers servers = fixture.servers();
  private final GatewayService gateway = fixture.vm("vm2").service();

  @AfterEach
  void close() {
    fixture.close();
  }

  /** Guards against a read that leaves its connection unusable for the next one. */
  @Test
  void readsOfACustomerShareOneConnection() throws Exception {
    for (long handle = 1; handle <= 10; handle++) {
      assertThat(
          call(CONNECTION, read(handle, "read-" + handle)), instanceOf(GatewayReply.Ran.class));
    }

    assertThat(servers.openedConnections(), is(1));
    assertThat(gateway.openCount(), is(0));
  }

  @Test
  void connectionReturnsToThePoolAfterACleanRelease() throws Exception {
    call(CONNECTION, acquire(1));
    call(CONNECTION, run(1, new Statement.Begin("b", "BEGIN", false)));
    call(CONNECTION, run(1, new Statement.Commit("c", "COMMIT")));
    send(CONNECTION, new GatewayRequest.Release(1, true));

    assertThat(servers.openConnections(), is(1));
    assertThat(gateway.openCount(), is(0));
    assertThat(GatewayFixture.await(() -> !gateway.isBusy()), is(true));
  }

  /** Guards against a requester whose mistake puts an open transaction into the pool. */
  @Test
  void connectionWithOpenTransactionIsClosedEvenIfReleasedAsClean() throws Exception {
    call(CONNECTION, acquire(1));
    call(CONNECTION, run(1, new Statement.Begin("b", "BEGIN", false)));
    send(CONNECTION, new GatewayRequest.Release(1, true));

    assertThat(servers.openConnections(), is(0));
    assertThat(servers.rollbacks(), is(1));
  }

  /** Guards against transactions that outlive the VM that runs them. */
  @Test
  void endOfThePeerConnectionRollsBackItsTransactionsAndNoOthers() throws Exception {
    call(CONNECTION, acquire(1));
    call(CONNECTION, run(1, new Statement.Begin("b1", "BEGIN", false)));
    call(CONNECTION + 1, acquire(1));
    call(CONNECTION + 1, run(1, new Statement.Begin("b2", "BEGIN", false)));

    gateway.handleDisconnect(CONNECTION);

    assertThat(servers.rollbacks(), is(1));
    assertThat(
        call(CONNECTION + 1, run(1, new Statement.Access("w", "WRITE a", true))),
        instanceOf(GatewayReply.Ran.class));
    assertThat(
        call(CONNECTION, run(1, new Statement.Access("lost", "WRITE a", true))),
        is(new GatewayReply.HandleLost()));
    assertThat(servers.runs().contains("bonds-1 lost"), is(false));
  }

  /** Guards against a connection that is lost to a requester that left while it was opened. */
  @Test
  void connectionOpenedForADisconnectedRequesterStaysUsable() throws Exception {
    servers.delayConnections(300);
    CompletableFuture<GatewayReply> pending = start(CONNECTION, acquire(1));
    gateway.handleDisconnect(CONNECTION);
    pending.get(5, TimeUnit.SECONDS);

    assertThat(GatewayFixture.await(() -> gateway.openCount() == 0), is(true));
    servers.delayConnections(0);
    call(CONNECTION + 1, read(2, "read-1"));
    assertThat(servers.openedConnections(), is(1));
  }

  /** Guards against transactions of a requester that is connected but never sends anything. */
  @Test
  void silentHandleIsClosedAfterTheIdleLimitOfTransactions() throws Exception {
    call(CONNECTION, acquire(1));
    call(CONNECTION, run(1, new Statement.Begin("b", "BEGIN", false)));

    assertThat(GatewayFixture.await(() -> servers.rollbacks() == 1), is(true));
    assertThat(gateway.openCount(), is(0));
  }

  /** Guards against requesters that use up the memory of the gateway. */
  @Test
  void numberOfHandlesIsBounded() throws Exception {
    int declined = 0;
    for (long handle = 0; handle < GatewayService.MAX_HANDLES + 20; handle++) {
      CompletableFuture<GatewayReply> reply = start(CONNECTION, acquire(handle, 60_000));
      if (reply.isDone() && reply.get().equals(new GatewayReply.Declined(ResultCode.OVERLOADED))) {
        declined++;
      }
    }

    assertThat(declined, is(20));
    assertThat(gateway.openCount(), lessThanOrEqualTo(GatewayService.MAX_HANDLES));
    gateway.handleDisconnect(CONNECTION);
    assertThat(GatewayFixture.await(() -> gateway.openCount() == 0), is(true));
  }

  /** Guards against a slow acquisition that looks like a gateway that does not answer. */
  @Test
  void slowAcquisitionIsAnsweredAsPendingAndCanBeAwaited() throws Exception {
    servers.delayConnections(450);

    assertThat(call(CONNECTION, acquire(1)), is(new GatewayReply.Pending()));
    GatewayReply reply = new GatewayReply.Pending();
    while (reply instanceof GatewayReply.Pending) {
      reply = call(CONNECTION, new GatewayRequest.Await(1));
    }

    assertThat(reply, is(new GatewayReply.Acquired()));
  }

  /** Guards against handles of requesters that gave up waiting for them. */
  @Test
  void handleReleasedWhilePendingIsClosed() throws Exception {
    servers.delayConnections(300);
    call(CONNECTION, acquire(1));
    send(CONNECTION, new GatewayRequest.Release(1, false));

    assertThat(GatewayFixture.await(() -> gateway.openCount() == 0), is(true));
  }

  /** Guards against statements that see the values of another session. */
  @Test
  void connectionGetsTheValuesOfEachSession() throws Exception {
    call(CONNECTION, read(1, "read-1", Map.of("zone", "x")));
    call(CONNECTION, read(2, "read-2", Map.of("zone", "y")));
    call(CONNECTION, read(3, "read-3", Map.of()));

    assertThat(
        servers.commands(),
        contains(
            "bonds-1 Assign[name=zone, value=x]",
            "bonds-1 Assign[name=zone, value=y]",
            "bonds-1 Reset[]"));
  }

  @Test
  void refusesWhenNoSlotIsFreeInTime() throws Exception {
    for (long handle = 1; handle <= GatewayFixture.SHARE; handle++) {
      call(CONNECTION, acquire(handle));
    }

    assertThat(
        call(CONNECTION, acquire(9, 50)),
        is(new GatewayReply.Refused(ResultCode.WAIT_LIMIT_REACHED)));
    assertThat(gateway.openCount(), is(GatewayFixture.SHARE));
  }

  /** Guards against a planned stop that cuts a transaction or starts another one. */
  @Test
  void drainingGatewayDeclinesNewHandlesAndLetsOpenOnesEnd() throws Exception {
    call(CONNECTION, acquire(1));
    call(CONNECTION, run(1, new Statement.Begin("b", "BEGIN", false)));
    gateway.drain();

    assertThat(
        call(CONNECTION, acquire(2)), is(new GatewayReply.Declined(ResultCode.SHUTTING_DOWN)));
    assertThat(
        call(CONNECTION, read(3, "read-1")),
        is(new GatewayReply.Declined(ResultCode.SHUTTING_DOWN)));
    assertThat(gateway.isBusy(), is(true));
    assertThat(
        call(CONNECTION, run(1, new Statement.Commit("c", "COMMIT"))),
        instanceOf(GatewayReply.Ran.class));
    send(CONNECTION, new GatewayRequest.Release(1, true));
    assertThat(GatewayFixture.await(() -> !gateway.isBusy()), is(true));
  }

  /** Guards against a stop that waits for idle transactions, or cuts a statement in progress. */
  @Test
  void endOfTransactionsClosesIdleHandlesOnly() throws Exception {
    CountDownLatch held = servers.holdAnswer("commit");
    call(CONNECTION, acquire(1));
    call(CONNECTION, run(1, new Statement.Begin("b1", "BEGIN", false)));
    call(CONNECTION, acquire(2));
    call(CONNECTION, run(2, new Statement.Begin("b2", "BEGIN", false)));
    CompletableFuture<GatewayReply> commit =
        start(CONNECTION, run(1, new Statement.Commit("commit", "COMMIT")));
    assertThat(GatewayFixture.await(() -> servers.runs().contains("bonds-1 commit")), is(true));

    gateway.endTransactions();
    held.countDown();

    assertThat(commit.get(5, TimeUnit.SECONDS), instanceOf(GatewayReply.Ran.class));
    assertThat(servers.rollbacks(), is(1));
    assertThat(
        call(CONNECTION, run(2, new Statement.Commit("c2", "COMMIT"))),
        is(new GatewayReply.HandleLost()));
  }

  @Test
  void declinesServersThatItDoesNotKnow() throws Exception {
    GatewayRequest.Acquire unknown =
        new GatewayRequest.Acquire(1, "bonds", "bonds-9", "acme", 0, Map.of(), null, 100, 500);

    assertThat(
        call(CONNECTION, unknown), is(new GatewayReply.Declined(ResultCode.BACKEND_UNREACHABLE)));
    assertThat(gateway.openCount(), is(0));
  }

  @Test
  void reportsWhetherABrokenConnectionMayHaveCarriedTheStatement() throws Exception {
    servers.holdAnswer("write");
    call(CONNECTION, acquire(1));

    GatewayReply reply =
        call(
            CONNECTION,
            new GatewayRequest.Run(
                1, new Statement.Access("write", "WRITE a", true), null, null, 100));

    assertThat(reply, instanceOf(GatewayReply.Broken.class));
    assertThat(((GatewayReply.Broken) reply).mayHaveReachedServer(), is(true));
    assertThat(servers.runs(), hasItem("bonds-1 write"));
    send(CONNECTION, new GatewayRequest.Release(1, true));
    assertThat(servers.openConnections(), is(0));
  }

  private GatewayReply call(long connection, GatewayRequest request) throws Exception {
    return start(connection, request).get(5, TimeUnit.SECONDS);
  }

  private CompletableFuture<GatewayReply> start(long connection, GatewayRequest request) {
    CompletableFuture<GatewayReply> result = new CompletableFuture<>();
    gateway.handle(
        "vm1",
        connection,
        request,
        reply -> {
          result.complete(reply);
          return CompletableFuture.completedFuture(null);
        });
    return result;
  }

  private void send(long connection, GatewayRequest request) {
    gateway.handle(
        "vm1",
        connection,
        request,
        reply -> {
          throw new AssertionError("unexpected reply " + reply);
        });
  }

  private static GatewayRequest.Acquire acquire(long handle) {
    return acquire(handle, 1_000);
  }

  private static GatewayRequest.Acquire acquire(long handle, long slotWaitMillis) {
    return new GatewayRequest.Acquire(
        handle, "bonds", "bonds-1", "acme", 0, Map.of(), null, slotWaitMillis, 2_000);
  }

  private static GatewayRequest.Read read(long handle, String id) {
    return read(handle, id, Map.of());
  }

  private static GatewayRequest.Read read(long handle, String id, Map<String, String> values) {
    return new GatewayRequest.Read(
        new GatewayRequest.Acquire(handle, "bonds", "bonds-1", "acme", 0, values, null, 100, 1_000),
        new GatewayRequest.Run(
            handle, new Statement.Access(id, "READ a", false), null, null, 1_000));
  }

  private static GatewayRequest.Run run(long handle, Statement statement) {
    return new GatewayRequest.Run(handle, statement, null, null, 2_000);
  }
}
