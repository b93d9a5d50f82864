package org.cowslipdale.daemon.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.WriteFencing;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.SessionRoute;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.daemon.request.RateLimiter;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests statements for servers that are all in the failure domain {@code a}, which is evacuated.
 */
class SessionRunnerEvacuationTests {

  private static final long LIMIT_MILLIS = 4_000;

  private final SessionFixture fixture = new SessionFixture();
  private final VmClock clock = fixture.clock();
  private final FakeServers servers = fixture.servers();
  private final ViewHolder views = fixture.viewsWithLease(60_000);
  private final AtomicInteger returnedTokens = new AtomicInteger();
  private final List<Thread> threads = new ArrayList<>();
  private final SessionRunner runner = runner();

  private SessionRunner runner() {
    SessionContext context = fixture.context(views, WriteFencing.BY_SERVERS, new CountingLimiter());
    return new SessionRunner(context, fixture.checker(context));
  }

  @AfterEach
  void stop() throws InterruptedException {
    for (Thread thread : threads) {
      thread.join();
    }
    fixture.close();
  }

  /** Guards against a statement that is held to its limit though no server may run it. */
  @Test
  void refusesAtOnceAfterGracePeriod() {
    evacuateBefore(10_000);
    long started = clock.millis();

    RefusalException refusal =
        assertThrows(RefusalException.class, () -> runner.run(write("write-1")));

    assertThat(refusal.code(), is(ResultCode.SERVER_EVACUATED));
    assertThat(clock.millis() - started, lessThan(LIMIT_MILLIS / 2));
    assertThat(servers.commandCount(), is(0));
    assertThat(returnedTokens.get(), is(1));
  }

  /**
   * Guards against commands, also those that set session values, that are sent to a server that was
   * evacuated while the statement waited for a connection.
   */
  @Test
  void sendsNothingForStatementThatWaitedWhileItsServerWasEvacuated() throws Exception {
    List<CountDownLatch> running = List.of(startHeld("write-1"), startHeld("write-2"));
    awaitRuns(2);
    Thread releasing =
        Thread.startVirtualThread(
            () -> {
              SessionFixture.pause(300);
              evacuateBefore(10_000);
              running.forEach(CountDownLatch::countDown);
            });
    threads.add(releasing);
    int commandsBefore = servers.commandCount();

    RefusalException refusal =
        assertThrows(RefusalException.class, () -> runner.run(write("write-3")));

    assertThat(refusal.code(), is(ResultCode.SERVER_EVACUATED));
    assertThat(servers.commandCount(), is(commandsBefore));
  }

  /** Publishes a view with the evacuation as if this VM had learned of it some time ago. */
  private void evacuateBefore(long elapsedMillis) {
    View evacuated = views.get().view().apply(new ViewCommand.BeginEvacuation("a")).view();
    views.publish(evacuated, clock.millis() + 60_000, 1, clock.millis() - elapsedMillis);
  }

  private CountDownLatch startHeld(String id) {
    CountDownLatch latch = servers.holdAnswer(id);
    threads.add(Thread.startVirtualThread(() -> assertDoesNotThrow(() -> runner.run(write(id)))));
    return latch;
  }

  private void awaitRuns(int count) {
    for (int i = 0; i < 400 && servers.runs().size() < count; i++) {
      SessionFixture.pause(5);
    }
  }

  private SessionRunner.StatementRequest write(String id) {
    SessionRoute route =
        new SessionRoute(
            "route", "bonds", new Freshness.Latest(), LIMIT_MILLIS, LIMIT_MILLIS, 1, false);
    return new SessionRunner.StatementRequest(
        new AdmittedOperation(route, "acme"),
        new Statement.Access(id, "WRITE a x", true),
        null,
        Map.of("name", id),
        LogPosition.ZERO,
        clock.millis() + LIMIT_MILLIS);
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
