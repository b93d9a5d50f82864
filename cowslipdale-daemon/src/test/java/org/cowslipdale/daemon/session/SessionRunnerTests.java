package org.cowslipdale.daemon.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipdale.core.result.Outcome;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.WriteFencing;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.ServerReply;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.statement.Statement.PreparedStatement;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.SessionRoute;
import org.cowslipdale.daemon.request.RateLimiter;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the routing and retries of statements against in-process servers.
 *
 * <p>The tests run in a fixed order, because their time limits are short and the first ones run
 * while classes are still being loaded.
 */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class SessionRunnerTests {

  private static final long LIMIT_MILLIS = 2_000;
  private static final Freshness LATEST = new Freshness.Latest();

  private final SessionFixture fixture = new SessionFixture();
  private final VmClock clock = fixture.clock();
  private final FakeServers servers = fixture.servers();
  private ViewHolder views = fixture.viewsWithLease(60_000);
  private final AtomicInteger returnedTokens = new AtomicInteger();
  private final List<Thread> threads = new ArrayList<>();
  private final List<CountDownLatch> answerLatches = new ArrayList<>();
  private WriteFencing writeFencing = WriteFencing.BY_SERVERS;
  private SessionRunner runner = runner();

  private SessionRunner runner() {
    SessionContext context = fixture.context(views, writeFencing, new CountingLimiter());
    return new SessionRunner(context, fixture.checker(context));
  }

  @AfterEach
  void stop() throws InterruptedException {
    answerLatches.forEach(CountDownLatch::countDown);
    for (Thread thread : threads) {
      thread.join();
    }
    fixture.close();
  }

  /**
   * After a restart all reads queue for the primary until it has reported a position. A read that a
   * replica may serve must not time out in that queue.
   */
  @Order(3)
  @Test
  void aReadLeavesTheQueueOfThePrimaryWhenAReplicaMayServeIt() throws Exception {
    startHeld("write-1");
    CountDownLatch second = startHeld("write-2");
    awaitRun("bonds-1 write-1");
    awaitRun("bonds-1 write-2");
    startHeld("write-3");
    Thread.sleep(20);
    Thread.startVirtualThread(
        () -> {
          SessionFixture.pause(150);
          second.countDown();
        });

    ServerReply reply = runner.run(request("read-1", false, new Freshness.BoundedAge(1_500)));

    assertThat(reply.failure() == null, is(true));
    assertThat(servers.runs(), hasItem("bonds-2 read-1"));
  }

  /** Guards against refusals whose cause neither logs nor metrics tell. */
  @Test
  void recordsWhatRefusedStatementWaitedFor() throws Exception {
    startHeld("write-1");
    startHeld("write-2");
    awaitRun("bonds-1 write-1");
    awaitRun("bonds-1 write-2");

    assertThrows(RefusalException.class, () -> runner.run(request("read-1", false, LATEST, 300)));

    assertThat(runner.waitMetrics().millis(StatementWaits.Cause.SLOT) > 100, is(true));
    assertThat(runner.waitMetrics().millis(StatementWaits.Cause.PERMIT), is(0L));
  }

  /**
   * A replaced primary still commits transactions that wrote nothing. Its reply must not count as a
   * new position of the primary.
   */
  @Order(2)
  @Test
  void commitOfReadTransactionDoesNotProvePrimary() throws Exception {
    Freshness bounded = new Freshness.BoundedAge(800);
    grantLease(600);
    SessionRunner.BegunTransaction transaction =
        runner.begin(request(new Statement.Begin("begin-1", "BEGIN READ", true), bounded));
    SessionFixture.pause(900);

    runner.runInTransaction(
        transaction, request(new Statement.Commit("commit-1", "COMMIT"), bounded));
    transaction.checkout().close();

    assertThrows(RefusalException.class, () -> runner.run(request("read-1", false, bounded, 300)));
    assertThat(servers.runs(), not(hasItem("bonds-1 read-1")));
  }

  /** Guards against a refusal that keeps the caller waiting although no wait can help. */
  @Order(20)
  @Test
  void refusesWriteWithoutServerInHomeRegionsAtOnce() {
    fixture.restrictRoute(views, "route", Set.of("elsewhere"));
    long startMillis = clock.millis();

    RefusalException e =
        assertThrows(RefusalException.class, () -> runner.run(request("write-1", true, LATEST)));

    assertThat(e.code(), is(ResultCode.NO_SERVER_IN_HOME_REGION));
    assertThat(clock.millis() - startMillis < LIMIT_MILLIS / 2, is(true));
    assertThat(returnedTokens.get(), is(1));
    assertThat(servers.commandCount(), is(0));
  }

  /**
   * Guards against text that leaves its home regions when they change while a statement waits for a
   * connection: neither the statement nor what prepares it may be sent.
   */
  @Order(21)
  @Test
  void sendsNothingOutsideHomeRegionsThatChangedWhileConnecting() throws Exception {
    servers.delayConnections(300);
    threads.add(
        Thread.startVirtualThread(
            () -> {
              SessionFixture.pause(100);
              fixture.restrictRoute(views, "route", Set.of("elsewhere"));
            }));
    Statement.Execute statement = new Statement.Execute("execute-1", "EXECUTE p 1", "p", "1");
    SessionRunner.StatementRequest template = request(statement, LATEST);
    SessionRunner.StatementRequest request =
        new SessionRunner.StatementRequest(
            template.operation(),
            statement,
            new PreparedStatement(true, "WRITE a"),
            Map.of("value", "1"),
            LogPosition.ZERO,
            template.deadlineMillis());

    RefusalException e = assertThrows(RefusalException.class, () -> runner.run(request));

    assertThat(e.code(), is(ResultCode.NO_SERVER_IN_HOME_REGION));
    assertThat(servers.commandCount(), is(0));
  }

  /** Guards against a transaction that is cut because the home regions of its route change. */
  @Order(22)
  @Test
  void transactionKeepsHomeRegionsOfItsBeginning() throws Exception {
    SessionRunner.StatementRequest begin =
        request(new Statement.Begin("begin-1", "BEGIN", false), LATEST);
    fixture.restrictRoute(views, "route", Set.of("elsewhere"));

    SessionRunner.BegunTransaction transaction = runner.begin(begin);
    ServerReply reply =
        runner.runInTransaction(
            transaction, request(new Statement.Commit("commit-1", "COMMIT"), LATEST));
    transaction.checkout().close();

    assertThat(reply.failure() == null, is(true));
  }

  /**
   * Guards against statements that are counted when they are routed, not when they are sent: all of
   * these are routed before the first one is sent.
   */
  @Order(23)
  @Test
  void sendsColdServerNoMoreThanItsShare() throws Exception {
    fixture.limitColdServers(views, 1, 1);
    servers.delayConnections(100);
    for (int i = 0; i < 4; i++) {
      String id = "write-" + i;
      threads.add(
          Thread.startVirtualThread(
              () -> {
                try {
                  runner.run(request(id, true, LATEST));
                } catch (RefusalException e) {
                  // The share of this VM was used up.
                }
              }));
    }
    Thread.sleep(700);

    assertThat(servers.runs().size(), is(1));
  }

  /** Guards against a write that fails although the next window begins before its deadline. */
  @Order(24)
  @Test
  void writeWaitsForTheNextWindowOfAColdPrimary() throws Exception {
    fixture.limitColdServers(views, 1, 1);
    runner.run(request("write-1", true, LATEST));
    long startMillis = clock.millis();

    runner.run(request("write-2", true, LATEST));

    assertThat(clock.millis() - startMillis > 900, is(true));
    assertThat(servers.runs(), is(List.of("bonds-1 write-1", "bonds-1 write-2")));
  }

  /** Guards against a refusal that keeps the caller waiting although no wait can help. */
  @Order(25)
  @Test
  void refusesWriteAtOnceIfTheNextWindowIsTooLate() throws Exception {
    fixture.limitColdServers(views, 1, 1);
    runner.run(request("write-1", true, LATEST));
    long startMillis = clock.millis();

    RefusalException e =
        assertThrows(
            RefusalException.class, () -> runner.run(request("write-2", true, LATEST, 900)));

    assertThat(e.code(), is(ResultCode.OVERLOADED));
    assertThat(clock.millis() - startMillis < 400, is(true));
    assertThat(returnedTokens.get(), is(1));
  }

  /** Guards against statements of transactions, commits and rollbacks that are not counted. */
  @Order(26)
  @Test
  void countsStatementsOfTransactions() throws Exception {
    fixture.limitColdServers(views, 2, 1);
    SessionRunner.BegunTransaction transaction =
        runner.begin(request(new Statement.Begin("begin-1", "BEGIN", false), LATEST));
    runner.runInTransaction(transaction, request("write-1", true, LATEST));

    RefusalException e =
        assertThrows(
            RefusalException.class,
            () ->
                runner.runInTransaction(
                    transaction, request(new Statement.Commit("commit-1", "COMMIT"), LATEST, 500)));
    runner.rollBack(transaction, new Statement.Rollback("rollback-1", "ROLLBACK"));
    Thread.sleep(200);

    assertThat(e.code(), is(ResultCode.TRANSACTION_ABORTED));
    assertThat(servers.runs(), is(List.of("bonds-1 begin-1", "bonds-1 write-1")));
  }

  /**
   * Opening a connection can take so long that the required position, recent when the read was
   * routed, is too old when it is sent.
   */
  @Order(4)
  @Test
  void rejectsReadWhosePositionExpiresWhileConnecting() throws Exception {
    grantLease(300);
    runner.run(request("write-1", true, new Freshness.Latest()));
    SessionFixture.pause(450);
    servers.delayConnections(450);

    Freshness bounded = new Freshness.BoundedAge(800);
    assertThrows(RefusalException.class, () -> runner.run(request("read-1", false, bounded, 600)));

    assertThat(servers.runs(), is(List.of("bonds-1 write-1")));
  }

  /**
   * The reads of a transaction are as recent as its beginning. If that reaches the server late, the
   * required position may already be too old.
   */
  @Order(1)
  @Test
  void rejectsTransactionWhosePositionExpiresBeforeBeginIsAnswered() throws Exception {
    grantLease(300);
    runner.run(request("write-1", true, new Freshness.Latest()));
    SessionFixture.pause(450);
    servers.delayStatements(450);

    Freshness bounded = new Freshness.BoundedAge(800);
    Statement.Begin begin = new Statement.Begin("begin-1", "BEGIN READ", true);
    assertThrows(RefusalException.class, () -> runner.begin(request(begin, bounded, 600)));
  }

  /**
   * Another primary may write as soon as the lease has expired, so the read could return outdated
   * data.
   */
  @Order(7)
  @Test
  void rejectsPrimaryReadWhenLeaseExpiresWhileConnecting() {
    grantLease(600);
    servers.delayConnections(700);

    Freshness latest = new Freshness.Latest();
    assertThrows(RefusalException.class, () -> runner.run(request("read-1", false, latest, 900)));

    assertThat(servers.runs(), is(List.of()));
  }

  /**
   * If the connection breaks while the statement is prepared, the write was not sent. Its outcome
   * must not be reported as unknown.
   */
  @Order(6)
  @Test
  void reportsNotRunWhenConnectionBreaksDuringPrepare() {
    servers.breakOnPrepare();
    PreparedStatement prepared = new PreparedStatement(true, "WRITE q2c");
    Statement execute = new Statement.Execute("write-1", "EXECUTE s1 a x", "s1", "a x");
    SessionRunner.StatementRequest unprepared = request(execute, new Freshness.Latest(), 300);
    SessionRunner.StatementRequest request =
        new SessionRunner.StatementRequest(
            unprepared.operation(),
            execute,
            prepared,
            unprepared.values(),
            unprepared.lastCommittedPosition(),
            unprepared.deadlineMillis());

    RefusalException refusal = assertThrows(RefusalException.class, () -> runner.run(request));

    assertThat(refusal.code().outcome(), is(Outcome.NOT_RUN));
  }

  @Order(5)
  @Test
  void returnsTokenOfStatementThatReachedNoServer() throws Exception {
    startHeld("write-1");
    startHeld("write-2");
    awaitRun("bonds-1 write-1");
    awaitRun("bonds-1 write-2");

    try {
      runner.run(request("write-3", true, new Freshness.Latest(), 200));
    } catch (RefusalException e) {
      assertThat(e.code().outcome().name(), is("NOT_RUN"));
    }

    assertThat(returnedTokens.get(), is(1));
  }

  /**
   * A replaced primary that accepts writes may commit one that was sent before the lease ended. It
   * must not be acknowledged.
   */
  @Order(8)
  @Test
  void writeHasUnknownOutcomeWhenLeaseExpiresBeforeItsAnswer() {
    writeFencing = WriteFencing.BY_LEASE;
    grantLease(500);
    servers.delayStatements(600);

    RefusalException refusal =
        assertThrows(
            RefusalException.class,
            () -> runner.run(request("write-1", true, new Freshness.Latest())));

    assertThat(refusal.code(), is(ResultCode.OUTCOME_UNKNOWN));
    assertThat(servers.runs(), is(List.of("bonds-1 write-1")));
  }

  /**
   * Guards against the loss of an acknowledged commit: a VM without a lease may use a primary whose
   * successor has already been chosen.
   */
  @ParameterizedTest
  @CsvSource({"0, true", "1, false"})
  void writeToSynchronousReplicasRequiresLease(int synchronousReplicas, boolean runs)
      throws Exception {
    grantLease(100);
    fixture.replicateSynchronously(views, synchronousReplicas);
    SessionFixture.pause(200);
    Freshness latest = new Freshness.Latest();

    if (runs) {
      runner.run(request("write-1", true, latest, 300));
    } else {
      assertThrows(RefusalException.class, () -> runner.run(request("write-1", true, latest, 300)));
    }

    assertThat(servers.runs(), is(runs ? List.of("bonds-1 write-1") : List.of()));
  }

  /** The position of a replaced primary must not count as that of its successor. */
  @Order(9)
  @Test
  void writeWithoutLeaseDoesNotProvePrimary() {
    writeFencing = WriteFencing.BY_LEASE;
    grantLease(500);
    servers.delayStatements(600);
    assertThrows(
        RefusalException.class, () -> runner.run(request("write-1", true, new Freshness.Latest())));
    servers.delayStatements(0);

    Freshness bounded = new Freshness.BoundedAge(1_500);
    assertThrows(RefusalException.class, () -> runner.run(request("read-1", false, bounded, 300)));
  }

  @Order(10)
  @Test
  void doesNotCommitAfterLeaseHasExpired() throws Exception {
    writeFencing = WriteFencing.BY_LEASE;
    grantLease(500);
    SessionRunner.BegunTransaction transaction = runner.begin(request(plainBegin(), LATEST));
    SessionFixture.pause(600);

    RefusalException refusal =
        assertThrows(
            RefusalException.class, () -> runner.runInTransaction(transaction, commitRequest()));

    transaction.checkout().close();
    assertThat(refusal.code().outcome(), is(Outcome.NOT_RUN));
    assertThat(servers.runs(), is(List.of("bonds-1 begin-1")));
  }

  @Order(11)
  @Test
  void commitHasUnknownOutcomeWhenLeaseExpiresBeforeItsAnswer() throws Exception {
    writeFencing = WriteFencing.BY_LEASE;
    grantLease(500);
    SessionRunner.BegunTransaction transaction = runner.begin(request(plainBegin(), LATEST));
    servers.delayStatements(600);

    RefusalException refusal =
        assertThrows(
            RefusalException.class, () -> runner.runInTransaction(transaction, commitRequest()));

    transaction.checkout().close();
    assertThat(refusal.code(), is(ResultCode.OUTCOME_UNKNOWN));
  }

  private static Statement.Begin plainBegin() {
    return new Statement.Begin("begin-1", "BEGIN", false);
  }

  private SessionRunner.StatementRequest commitRequest() {
    return request(new Statement.Commit("commit-1", "COMMIT"), LATEST);
  }

  private void grantLease(long millis) {
    views = fixture.viewsWithLease(millis);
    runner = runner();
  }

  private CountDownLatch startHeld(String id) {
    CountDownLatch latch = servers.holdAnswer(id);
    answerLatches.add(latch);
    threads.add(
        Thread.startVirtualThread(
            () -> {
              try {
                runner.run(request(id, true, new Freshness.Latest()));
              } catch (RefusalException e) {
                // The test ends before the answer.
              }
            }));
    return latch;
  }

  private void awaitRun(String run) {
    for (int i = 0; i < 200 && !servers.runs().contains(run); i++) {
      SessionFixture.pause(5);
    }
  }

  private SessionRunner.StatementRequest request(String id, boolean write, Freshness freshness) {
    return request(id, write, freshness, LIMIT_MILLIS);
  }

  private SessionRunner.StatementRequest request(
      String id, boolean write, Freshness freshness, long limitMillis) {
    return request(new Statement.Access(id, "READ a", write), freshness, limitMillis);
  }

  private SessionRunner.StatementRequest request(Statement statement, Freshness freshness) {
    return request(statement, freshness, LIMIT_MILLIS);
  }

  private SessionRunner.StatementRequest request(
      Statement statement, Freshness freshness, long limitMillis) {
    SessionRoute route =
        new SessionRoute("route", "bonds", freshness, limitMillis, limitMillis, 1, false);
    return new SessionRunner.StatementRequest(
        new AdmittedOperation(route, "acme"),
        statement,
        null,
        Map.of(),
        LogPosition.ZERO,
        clock.millis() + limitMillis);
  }

  private final class CountingLimiter implements RateLimiter {

    @Override
    public void acquire(String customer, long deadlineMillis) {}

    @Override
    public void returnToken(String customer) {
      returnedTokens.incrementAndGet();
    }
  }
}
