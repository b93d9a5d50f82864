package org.cowslipdale.daemon.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.matchesPattern;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.cowslipdale.config.settings.Feature;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.WriteFencing;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.SessionRoute;
import org.cowslipdale.daemon.request.RateLimiter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests admission by priority in the session runner against in-process servers. */
class PriorityAdmissionTests {

  private static final long LIMIT_MILLIS = 4_000;

  private final SessionFixture fixture = new SessionFixture(Set.of(Feature.PRIORITY_ADMISSION));
  private final FakeServers servers = fixture.servers();
  private final SessionContext context =
      fixture.context(fixture.viewsWithLease(60_000), WriteFencing.BY_SERVERS, new UnlimitedRate());
  private final SessionRunner runner = new SessionRunner(context, fixture.checker(context));
  private final List<Thread> threads = new ArrayList<>();
  private final List<CountDownLatch> latches = new ArrayList<>();

  private static final class UnlimitedRate implements RateLimiter {

    @Override
    public void acquire(String customer, long deadlineMillis) {}

    @Override
    public void returnToken(String customer) {}
  }

  @AfterEach
  void stop() throws InterruptedException {
    latches.forEach(CountDownLatch::countDown);
    for (Thread thread : threads) {
      thread.join();
    }
    fixture.close();
  }

  /** Guards against a pool that serves a low class first because it came first. */
  @Test
  void poolDispatchesHigherPriorityFirst() throws Exception {
    CountDownLatch first = servers.holdAnswer("held-1");
    latches.add(first);
    latches.add(servers.holdAnswer("held-2"));
    start("held-1", 1);
    start("held-2", 1);
    awaitRuns(2);
    for (int i = 0; i < 3; i++) {
      start("low-" + i, 2);
    }
    awaitOutstanding(5);
    start("high", 0);
    awaitOutstanding(6);

    first.countDown();
    awaitRuns(6);

    List<String> runs = servers.runs();
    assertThat(runs.toString(), runs.size(), is(6));
    assertThat(runs.toString(), runs.indexOf("bonds-1 high"), is(2));
  }

  /** Guards against a common back-off, which holds the highest class for as long as the lowest. */
  @Test
  void highestPriorityRunsSoonAfterServerIsFreeAgain() throws Exception {
    servers.rejectAsBusy(true);
    start("high", 0);
    start("low", 2);
    SessionFixture.pause(600);
    long now = fixture.clock().millis();
    long highEnd = context.backoff().endMillis("bonds-1", 0);
    long lowEnd = context.backoff().endMillis("bonds-1", 2);
    assertThat(highEnd - now, is(lessThan(41L)));
    assertThat(context.backoff().endMillis("bonds-1", 2) >= highEnd || lowEnd <= now, is(true));

    servers.rejectAsBusy(false);
    awaitRuns(2);

    assertThat(servers.runs().size(), is(greaterThanOrEqualTo(2)));
    assertThat(servers.runs().getFirst(), is("bonds-1 high"));
  }

  /** Guards against a statement that is held until its limit while its server stays busy. */
  @Test
  void refusesBeforeTheLimitAndSaysWhenToRetry() {
    servers.rejectAsBusy(true);
    long started = fixture.clock().millis();

    RefusalException refusal =
        assertThrows(RefusalException.class, () -> runner.run(request("refused", 0)));

    assertThat(fixture.clock().millis() - started, is(lessThan(LIMIT_MILLIS * 3 / 4)));
    assertThat(refusal.code(), is(ResultCode.OVERLOADED));
    assertThat(refusal.getMessage(), matchesPattern(".* Retry after [0-9]+ ms\\."));
    assertThat(runner.refusedCount(), is(1L));
    assertThat(servers.runs(), is(List.of()));
  }

  private void start(String id, int priority) {
    threads.add(
        Thread.startVirtualThread(
            () -> {
              try {
                runner.run(request(id, priority));
              } catch (RefusalException e) {
                // The assertions look at what ran.
              }
            }));
  }

  private void awaitRuns(int count) {
    for (int i = 0; i < 600 && servers.runs().size() < count; i++) {
      SessionFixture.pause(5);
    }
  }

  private void awaitOutstanding(int count) {
    for (int i = 0; i < 400 && context.pools().outstanding("bonds-1") < count; i++) {
      SessionFixture.pause(5);
    }
  }

  private SessionRunner.StatementRequest request(String id, int priority) {
    SessionRoute route =
        new SessionRoute(
            "route-" + priority,
            "bonds",
            new Freshness.Latest(),
            LIMIT_MILLIS,
            LIMIT_MILLIS,
            priority,
            false);
    return new SessionRunner.StatementRequest(
        new AdmittedOperation(route, "acme"),
        new Statement.Access(id, "WRITE a", true),
        null,
        Map.of(),
        LogPosition.ZERO,
        fixture.clock().millis() + LIMIT_MILLIS);
  }
}
