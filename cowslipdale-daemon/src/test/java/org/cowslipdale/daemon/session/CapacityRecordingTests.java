package org.cowslipdale.daemon.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.cowslipdale.config.settings.Feature;
import org.cowslipdale.core.backend.ServerCapacity;
import org.cowslipdale.core.placement.ColdStartLimit;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.routing.CapacityPlacement;
import org.cowslipdale.core.routing.SessionRouter;
import org.cowslipdale.core.routing.WriteFencing;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.SessionRoute;
import org.cowslipdale.daemon.request.RateLimiter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that what happens to statements reaches the estimates for servers. */
class CapacityRecordingTests {

  private static final String PRIMARY = "bonds-1";
  private static final int SLOTS = 5;

  private final SessionFixture fixture = new SessionFixture();
  private final ServerCapacity capacity = new ServerCapacity();
  private final SessionRunner runner = runner();

  @AfterEach
  void stop() {
    fixture.close();
  }

  @Test
  void recordsAnswers() throws Exception {
    runner.run(request("write-1", 2_000));

    assertThat(capacity.estimates().containsKey(PRIMARY), is(true));
    assertThat(capacity.estimate(PRIMARY, SLOTS).successRate(), is(1.0));
  }

  /** A server that does not answer would otherwise keep the estimate of its good times. */
  @Test
  void recordsStatementsWithoutAnswer() {
    CountDownLatch answer = fixture.servers().holdAnswer("write-1");

    assertThrows(RefusalException.class, () -> runner.run(request("write-1", 800)));
    answer.countDown();

    assertThat(capacity.estimate(PRIMARY, SLOTS).limit(), is(lessThan((double) SLOTS)));
    assertThat(capacity.estimate(PRIMARY, SLOTS).successRate(), is(lessThan(1.0)));
  }

  private SessionRunner runner() {
    SessionContext base =
        fixture.context(
            fixture.viewsWithLease(60_000), WriteFencing.BY_SERVERS, new UnlimitedRate());
    CapacityPlacement placement =
        new CapacityPlacement("vm1", "a", "r", base.pools(), base.backoff(), capacity);
    SessionContext context =
        new SessionContext(
            base.views(),
            base.registry(),
            base.health(),
            new SessionRouter(
                "vm1",
                "a",
                "r",
                base.pools(),
                base.lagTracker(),
                base.backoff(),
                WriteFencing.BY_SERVERS,
                placement),
            base.pools(),
            base.lagTracker(),
            base.positions(),
            base.backoff(),
            base.trafficMonitor(),
            base.limiter(),
            base.clock(),
            new ColdStartLimit("vm1"),
            new PlacementCounters(),
            Set.of(Feature.ADAPTIVE_CAPACITY));
    return new SessionRunner(context, fixture.checker(context));
  }

  private SessionRunner.StatementRequest request(String id, long limitMillis) {
    SessionRoute route =
        new SessionRoute(
            "route", "bonds", new Freshness.Latest(), limitMillis, limitMillis, 1, false);
    return new SessionRunner.StatementRequest(
        new AdmittedOperation(route, "acme"),
        new Statement.Access(id, "WRITE a", true),
        null,
        Map.of(),
        LogPosition.ZERO,
        fixture.clock().millis() + limitMillis);
  }

  private static final class UnlimitedRate implements RateLimiter {

    @Override
    public void acquire(String customer, long deadlineMillis) {}

    @Override
    public void returnToken(String customer) {}
  }
}
