package org.cowslipdale.daemon.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.WriteFencing;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.daemon.request.RateLimiter;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how sessions end when their VM stops. */
class SessionServerTests {

  private static final long TIMEOUT_MILLIS = 5_000;

  private final SessionFixture fixture = new SessionFixture();
  private final SessionServer server = createServer();

  private SessionServer createServer() {
    SessionContext context =
        fixture.context(
            fixture.viewsWithLease(60_000), WriteFencing.BY_SERVERS, new UnlimitedRate());
    return new SessionServer(context, fixture.checker(context));
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  /**
   * Guards against a planned stop that cuts requests in progress. A caller that sends its next
   * statement as soon as it receives a reply leaves its session no idle moment in which it could be
   * closed.
   */
  @Test
  void drainClosesBusySessionBetweenTwoStatements() throws Exception {
    Caller caller = new Caller(true);
    caller.open();
    assertThat(await(() -> caller.replies.size() >= 5), is(true));

    server.drain();

    assertThat(caller.closed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(true));
    assertThat(caller.replies, hasSize(caller.sent.get()));
    long completed = caller.replies.stream().filter(reply -> reply.refusal() == null).count();
    assertThat((long) fixture.servers().runs().size(), is(completed));
    assertThat(caller.refusalCodes(), is(List.of(ResultCode.SHUTTING_DOWN)));
    // A session counts as open until its channel has been closed.
    assertThat(await(() -> server.openCount() == 0), is(true));
  }

  @Test
  void drainLetsTransactionComplete() throws Exception {
    Caller caller = new Caller(false);
    caller.open();
    caller.send(new Statement.Begin("begin-1", "BEGIN", false));
    assertThat(await(() -> caller.replies.size() == 1), is(true));

    server.drain();
    caller.send(new Statement.Access("write-1", "WRITE a x", true));
    assertThat(await(() -> caller.replies.size() == 2), is(true));
    assertThat(caller.closed.getCount(), is(1L));
    caller.send(new Statement.Commit("commit-1", "COMMIT"));

    assertThat(caller.closed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(true));
    assertThat(caller.refusalCodes(), is(List.of()));
    assertThat(
        fixture.servers().runs(),
        is(List.of("bonds-1 begin-1", "bonds-1 write-1", "bonds-1 commit-1")));
  }

  @Test
  void drainRefusesNewSessions() throws Exception {
    server.drain();
    Caller caller = new Caller(false);
    caller.open();

    assertThat(caller.closed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(true));
    assertThat(caller.rejections, hasSize(1));
    assertThat(caller.rejections.element().code(), is(ResultCode.SHUTTING_DOWN));
  }

  /** A connection without a session is closed, and a late request to open one is refused. */
  @Test
  void drainClosesConnectionWithoutSession() throws Exception {
    Caller caller = new Caller(false);

    server.drain();

    assertThat(caller.closed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(true));
    caller.open();
    assertThat(caller.rejections, hasSize(1));
    assertThat(caller.rejections.element().code(), is(ResultCode.SHUTTING_DOWN));
  }

  /**
   * Guards against statements that are cut when the time limit of a planned stop is reached. The
   * caller must learn whether its statement may have run.
   */
  @ParameterizedTest
  @CsvSource({"true, OUTCOME_UNKNOWN", "false, SHUTTING_DOWN"})
  void endAnswersStatementInProgress(boolean write, ResultCode expected) throws Exception {
    CountDownLatch answer = fixture.servers().holdAnswer("held");
    Caller caller = new Caller(false);
    caller.open();
    caller.send(new Statement.Access("held", write ? "WRITE a x" : "READ a", write));
    assertThat(await(() -> fixture.servers().runs().contains("bonds-1 held")), is(true));

    server.drain();
    server.endStatements();

    assertThat(caller.closed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(true));
    assertThat(caller.refusalCodes(), is(List.of(expected)));
    assertThat(fixture.servers().runs(), is(List.of("bonds-1 held")));
    answer.countDown();
  }

  /**
   * Guards against a session that ends without an answer after an unexpected error, and against a
   * slot of the server's pool that stays in use.
   */
  @Test
  void answersStatementsThatFailUnexpectedly() throws Exception {
    fixture.servers().failOnConnect(true);
    for (int i = 0; i < 3; i++) {
      Caller caller = new Caller(false);
      caller.open();
      caller.send(new Statement.Access("failing-" + i, "READ a", false));
      assertThat(caller.closed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), is(true));
      assertThat(caller.refusalCodes(), is(List.of(ResultCode.INTERNAL_ERROR)));
    }
    fixture.servers().failOnConnect(false);

    Caller caller = new Caller(false);
    caller.open();
    caller.send(new Statement.Access("read-1", "READ a", false));

    assertThat(await(() -> caller.replies.size() == 1), is(true));
    assertThat(caller.refusalCodes(), is(List.of()));
  }

  private static boolean await(BooleanSupplier condition) {
    for (long waited = 0; waited < TIMEOUT_MILLIS && !condition.getAsBoolean(); waited += 5) {
      SessionFixture.pause(5);
    }
    return condition.getAsBoolean();
  }

  /** A connected caller that records what it receives. */
  private final class Caller implements CallerChannel {

    private final boolean continuous;
    private final CallerSession session;
    private final AtomicInteger sent = new AtomicInteger();
    private final Queue<SessionReply> replies = new ConcurrentLinkedQueue<>();
    private final Queue<RefusalException> rejections = new ConcurrentLinkedQueue<>();
    private final CountDownLatch closed = new CountDownLatch(1);

    /**
     * Connects the caller.
     *
     * @param continuous whether it sends a read as soon as its session is open and after each
     *     reply, until a statement is refused
     */
    Caller(boolean continuous) {
      this.continuous = continuous;
      this.session = server.accept(this);
    }

    void open() {
      session.handleOpen(SessionFixture.OPEN_ROUTE, null);
    }

    void send(Statement statement) {
      sent.incrementAndGet();
      session.handleStatement(statement);
    }

    List<ResultCode> refusalCodes() {
      return replies.stream()
          .map(SessionReply::refusal)
          .filter(refusal -> refusal != null)
          .map(RefusalException::code)
          .toList();
    }

    @Override
    public void confirmOpen() {
      sendNext(null);
    }

    @Override
    public void refuse(RefusalException refusal) {
      rejections.add(refusal);
    }

    @Override
    public void reply(SessionReply reply) {
      replies.add(reply);
      sendNext(reply.refusal());
    }

    @Override
    public void close() {
      closed.countDown();
    }

    private void sendNext(@Nullable RefusalException refusal) {
      if (continuous && refusal == null) {
        send(new Statement.Access("read-" + sent.get(), "READ a", false));
      }
    }
  }

  private static final class UnlimitedRate implements RateLimiter {

    @Override
    public void acquire(String customer, long deadlineMillis) {}

    @Override
    public void returnToken(String customer) {}
  }
}
