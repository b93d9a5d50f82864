package org.cowslipdale.daemon.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.ServerReply;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.statement.TransactionState;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.SessionRoute;
import org.cowslipdale.daemon.session.InMemoryGatewayLink.Fault;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests statements that run on connections of a gateway: the pools of two VMs are joined by an
 * in-memory link, and the gateway fails in one way at a time.
 */
class GatewayConnectionsTests {

  private static final Freshness LATEST = new Freshness.Latest();

  private final GatewayFixture fixture = new GatewayFixture();
  private final FakeServers servers = fixture.servers();
  private final String gateway = fixture.gateways().get(0);
  private final String fallback = fixture.gateways().get(1);
  private final GatewayFixture.Vm requester = fixture.requester();
  private final InMemoryGatewayLink link =
      new InMemoryGatewayLink(requester.name(), vm -> fixture.vm(vm).service());
  private final SessionContext context = fixture.context(requester, link);
  private final SessionRunner runner = new SessionRunner(context, fixture.checker(context));
  private final Session session =
      new Session(
          GatewayFixture.OPEN_ROUTE,
          null,
          new SessionAdmission(context.views(), context.limiter(), context.clock()),
          runner);

  @AfterEach
  void close() {
    session.close();
    fixture.close();
  }

  /** Guards against one connection for each statement, which the gateways exist to avoid. */
  @Test
  void statementsOfACustomerShareTheGatewaysConnection() throws Exception {
    for (int i = 0; i < 10; i++) {
      runner.run(request(read("read-" + i)));
      runner.run(request(write("write-" + i)));
    }

    assertThat(servers.openedConnections(), is(1));
    assertThat(servers.runs().size(), is(20));
    assertThat(fixture.vm(gateway).pools().usage().openedPerStatement(), is(0.05));
    assertThat(connections().metrics().count(RelayMetrics.Result.RAN), is(20L));
    assertThat(link.requests(gateway), is(30));
    assertThat(requester.pools().hasIdleConnection("bonds-1", GatewayFixture.CUSTOMER), is(false));
    assertNoHandleRemains();
  }

  /** Guards against a VM that relays to another VM although it is the gateway itself. */
  @Test
  void gatewayUsesItsOwnPools() throws Exception {
    InMemoryGatewayLink unused = new InMemoryGatewayLink(gateway, vm -> fixture.vm(vm).service());
    SessionContext own = fixture.context(fixture.vm(gateway), unused);
    new SessionRunner(own, fixture.checker(own)).run(request(read("read-1")));

    assertThat(unused.requests(fallback), is(0));
    assertThat(servers.runs(), contains("bonds-1 read-1"));
  }

  /** Guards against statements of a transaction that run on different connections. */
  @Test
  void transactionStaysOnOneConnectionAndReturnsIt() throws Exception {
    servers.delayStatements(5);
    assertThat(execute(new Statement.Assign("s", "SET zone x", "zone", "x")), is(nullValue()));
    assertThat(execute(new Statement.Begin("b", "BEGIN", false)), is(nullValue()));
    assertThat(execute(write("write-1")), is(nullValue()));
    assertThat(execute(new Statement.Assign("s2", "SET zone y", "zone", "y")), is(nullValue()));
    assertThat(execute(write("write-2")), is(nullValue()));
    assertThat(execute(new Statement.Commit("c", "COMMIT")), is(nullValue()));

    assertThat(
        servers.runs(), contains("bonds-1 b", "bonds-1 write-1", "bonds-1 write-2", "bonds-1 c"));
    assertThat(
        servers.commands(),
        contains("bonds-1 Assign[name=zone, value=x]", "bonds-1 Assign[name=zone, value=y]"));
    assertNoHandleRemains();
    assertThat(servers.openConnections(), is(1));
    assertThat(servers.rollbacks(), is(0));
  }

  @Test
  void rollbackReturnsTheConnection() throws Exception {
    execute(new Statement.Begin("b", "BEGIN", false));
    execute(write("write-1"));
    execute(new Statement.Rollback("r", "ROLLBACK"));

    assertNoHandleRemains();
    assertThat(servers.openConnections(), is(1));
    assertThat(servers.rollbacks(), is(0));
  }

  /** Guards against a dead gateway, or one of the previous version, that stops its customers. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void gatewayDeadBeforeTheRunIsReplacedByItsFallback(boolean write) throws Exception {
    link.setFault(gateway, Fault.LOSES_REQUESTS);
    Statement statement = write ? write("id-1") : read("id-1");

    assertThat(runner.run(request(statement)).failure(), is(nullValue()));
    runner.run(request(write ? write("id-2") : read("id-2")));

    assertThat(servers.runs(), contains("bonds-1 id-1", "bonds-1 id-2"));
    assertThat(link.requests(gateway), is(1));
    assertThat(link.requests(fallback), greaterThan(1));
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void ownPoolTakesThePlaceOfGatewayAndFallback(boolean write) throws Exception {
    link.setFault(gateway, Fault.LOSES_REQUESTS);
    link.setFault(fallback, Fault.LOSES_REQUESTS);

    runner.run(request(write ? write("id-1") : read("id-1")));

    assertThat(servers.runs(), contains("bonds-1 id-1"));
    assertThat(requester.pools().hasIdleConnection("bonds-1", GatewayFixture.CUSTOMER), is(true));
  }

  /** Guards against a recovered gateway that is never used again. */
  @Test
  void gatewayIsUsedAgainAfterItsAvoidance() throws Exception {
    link.setFault(gateway, Fault.LOSES_REQUESTS);
    runner.run(request(read("read-1")));
    link.repair(gateway);
    SessionFixture.pause(1_100);
    runner.run(request(read("read-2")));

    assertThat(link.requests(gateway), is(2));
  }

  /** Guards against a write that runs twice because the answer of the gateway was lost. */
  @Test
  void writeWithoutAnswerIsUnknownAndRunsOnce() {
    link.setFault(gateway, Fault.LOSES_RUN_REPLIES);

    RefusalException refusal =
        assertThrows(RefusalException.class, () -> runner.run(request(write("write-1"), 700)));

    assertThat(refusal.code(), is(ResultCode.OUTCOME_UNKNOWN));
    assertThat(servers.runs(), contains("bonds-1 write-1"));
  }

  /** Guards against a write that is held until its limit although its gateway is gone. */
  @Test
  void writeIsUnknownAtOnceWhenThePeerConnectionEnds() throws Exception {
    link.setFault(gateway, Fault.LOSES_RUN_REPLIES);
    Thread disconnecting =
        Thread.startVirtualThread(
            () -> {
              GatewayFixture.await(() -> servers.runs().contains("bonds-1 write-1"));
              link.disconnect(gateway);
            });
    long startedMillis = fixture.clock().millis();

    RefusalException refusal =
        assertThrows(RefusalException.class, () -> runner.run(request(write("write-1"), 10_000)));

    disconnecting.join();
    assertThat(refusal.code(), is(ResultCode.OUTCOME_UNKNOWN));
    assertThat(fixture.clock().millis() - startedMillis, lessThan(5_000L));
  }

  @Test
  void readWithoutAnswerIsRepeatedElsewhere() throws Exception {
    link.setFault(gateway, Fault.LOSES_RUN_REPLIES);

    assertThat(runner.run(request(read("read-1"))).failure(), is(nullValue()));
    assertThat(link.requests(fallback), is(1));
  }

  /** Guards against a transaction that fails because its gateway died before its beginning. */
  @Test
  void beginWithoutAnswerIsRepeatedElsewhere() throws Exception {
    link.setFault(gateway, Fault.LOSES_RUNS);
    SessionRunner.BegunTransaction transaction =
        runner.begin(request(new Statement.Begin("b", "BEGIN", false), 5_000));
    transaction.checkout().close();

    assertThat(servers.runs(), contains("bonds-1 b"));
    assertThat(link.requests(fallback), is(2));
  }

  /** Guards against "aborted" for a transaction that may have been committed. */
  @Test
  void commitWithoutAnswerIsUnknown() throws Exception {
    execute(new Statement.Begin("b", "BEGIN", false));
    execute(write("write-1"));
    link.setFault(gateway, Fault.LOSES_RUN_REPLIES);

    assertThat(execute(new Statement.Commit("c", "COMMIT")), is(ResultCode.OUTCOME_UNKNOWN));
    assertThat(servers.runs().stream().filter("bonds-1 c"::equals).count(), is(1L));
  }

  @Test
  void statementOfATransactionWithoutAnswerAbortsIt() throws Exception {
    execute(new Statement.Begin("b", "BEGIN", false));
    execute(write("write-1"));
    link.setFault(gateway, Fault.LOSES_RUN_REPLIES);

    assertThat(execute(write("write-2")), is(ResultCode.TRANSACTION_ABORTED));
    assertThat(session.state(), is(TransactionState.FAILED));
    assertThat(GatewayFixture.await(() -> servers.rollbacks() == 1), is(true));
  }

  /** Guards against a commit on another connection than that of its transaction. */
  @Test
  void commitAfterTheHandleWasClosedIsAborted() throws Exception {
    execute(new Statement.Begin("b", "BEGIN", false));
    execute(write("write-1"));
    link.disconnect(gateway);

    assertThat(execute(new Statement.Commit("c", "COMMIT")), is(ResultCode.TRANSACTION_ABORTED));
    assertThat(servers.runs(), contains("bonds-1 b", "bonds-1 write-1"));
    assertThat(servers.rollbacks(), is(1));
  }

  /** Guards against transactions that hold locks after the death of the VM that ran them. */
  @Test
  void deathOfTheRequesterRollsItsTransactionBack() throws Exception {
    execute(new Statement.Begin("b", "BEGIN", false));
    execute(write("write-1"));
    link.disconnect(gateway);

    assertThat(servers.rollbacks(), is(1));
    assertThat(fixture.vm(gateway).service().openCount(), is(0));
    assertThat(servers.openConnections(), is(0));
  }

  /** Guards against refusals of callers while a gateway stops as planned. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void stoppingGatewayIsReplacedByItsFallback(boolean write) throws Exception {
    fixture.vm(gateway).service().drain();

    runner.run(request(write ? write("id-1") : read("id-1")));
    runner.run(request(write ? write("id-2") : read("id-2")));

    assertThat(servers.runs(), contains("bonds-1 id-1", "bonds-1 id-2"));
    assertThat(link.requests(gateway), is(1));
  }

  /** Guards against an old read: its position was recent enough when it left this VM only. */
  @Test
  void lateReadIsDiscardedAndRepeated() throws Exception {
    runner.run(request(write("write-1")));
    link.delayRequests(270);
    Freshness bounded = new Freshness.BoundedAge(1_400);

    ServerReply reply = runner.run(request(read("read-1"), bounded, 3_000));

    assertThat(reply.failure(), is(nullValue()));
    assertThat(servers.runs().stream().filter(run -> run.endsWith("read-1")).count(), is(3L));
    assertThat(connections().metrics().count(RelayMetrics.Result.DISCARDED), is(2L));
  }

  /** Guards against a gateway that looks dead because the server answers slowly. */
  @Test
  void slowServerDoesNotCountAgainstTheGateway() throws Exception {
    servers.delayStatements(700);

    runner.run(request(read("read-1")));
    runner.run(request(write("write-1")));

    assertThat(servers.runs(), contains("bonds-1 read-1", "bonds-1 write-1"));
    assertThat(link.requests(fallback), is(0));
    assertThat(connections().metrics().count(RelayMetrics.Result.UNANSWERED), is(0L));
  }

  private GatewayConnections connections() {
    return (GatewayConnections) context.pools();
  }

  private void assertNoHandleRemains() {
    GatewayService service = fixture.vm(gateway).service();
    assertThat(GatewayFixture.await(() -> !service.isBusy()), is(true));
    assertThat(context.pools().outstanding("bonds-1"), is(0));
  }

  /** Executes a statement in the session; returns the code of its refusal, or null. */
  private @Nullable ResultCode execute(Statement statement) {
    RefusalException refusal = session.execute(statement, fixture.clock().millis()).refusal();
    return refusal == null ? null : refusal.code();
  }

  private static Statement read(String id) {
    return new Statement.Access(id, "READ a", false);
  }

  private static Statement write(String id) {
    return new Statement.Access(id, "WRITE a", true);
  }

  private SessionRunner.StatementRequest request(Statement statement) {
    return request(statement, 2_000);
  }

  private SessionRunner.StatementRequest request(Statement statement, long limitMillis) {
    return request(statement, LATEST, limitMillis);
  }

  private SessionRunner.StatementRequest request(
      Statement statement, Freshness freshness, long limitMillis) {
    SessionRoute route =
        new SessionRoute("route", "bonds", freshness, limitMillis, limitMillis, 1, false);
    return new SessionRunner.StatementRequest(
        new AdmittedOperation(route, GatewayFixture.CUSTOMER),
        statement,
        null,
        Map.of(),
        LogPosition.ZERO,
        fixture.clock().millis() + limitMillis);
  }
}
