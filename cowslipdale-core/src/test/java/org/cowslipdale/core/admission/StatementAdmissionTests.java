package org.cowslipdale.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import org.cowslipdale.core.admission.StatementAdmission.Cause;
import org.cowslipdale.core.admission.StatementAdmission.Decision;
import org.cowslipdale.core.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StatementAdmissionTests {

  private static final long LIMIT_MILLIS = 8_000;

  private final Random random = new Random(7);

  /**
   * Callers give up after a few quick refusals, so a statement must not be refused while its cause
   * is new; one whose cause will outlast it must not be held to its end.
   */
  @ParameterizedTest
  @CsvSource({"0, true", "1000, true", "15000, true", "17000, false", "60000, false"})
  void refusesOnlyWhatIsExpectedToMissItsLimit(long lastedMillis, boolean waits) {
    Cause cause = new Cause(ResultCode.NO_PRIMARY, 100_000 - lastedMillis, Long.MIN_VALUE);

    Decision decision = decide(cause, 0, 100_000 + LIMIT_MILLIS, 100_000);

    assertThat(decision, instanceOf(waits ? Decision.WaitUntil.class : Decision.Refuse.class));
  }

  /** Guards against a statement that is held until its limit has passed. */
  @Test
  void waitingStatementIsRefusedBeforeItsLimit() {
    long now = 0;
    Decision decision = new Decision.Run();
    while (!(decision instanceof Decision.Refuse)) {
      decision = decide(new Cause(ResultCode.NO_PRIMARY, 0, Long.MIN_VALUE), 0, LIMIT_MILLIS, now);
      if (decision instanceof Decision.WaitUntil wait) {
        assertThat(wait.untilMillis(), is(greaterThan(now)));
        now = wait.untilMillis();
      }
    }

    assertThat(now, is(greaterThan(LIMIT_MILLIS / 2)));
    assertThat(now, is(lessThan(LIMIT_MILLIS * 3 / 4)));
  }

  @Test
  void waitsForTheKnownEndOfTheCause() {
    Cause cause = new Cause(ResultCode.OVERLOADED, 900, 1_200);

    assertThat(decide(cause, 0, 1_500, 1_000), is(new Decision.WaitUntil(1_200)));
    assertThat(decide(cause, 0, 1_100, 1_000), instanceOf(Decision.Refuse.class));
  }

  @Test
  void runsAtOnceWhenTheKnownEndHasPassedAndNoPauseIsNeeded() {
    Cause cause = new Cause(ResultCode.OVERLOADED, 900, 950);
    RequestProfile profile = new RequestProfile("acme", 0, 2_000, "");

    assertThat(
        StatementAdmission.decide(cause, profile, 5_000, 0, 0.5, 1_000), is(new Decision.Run()));
  }

  /** Guards against all callers of an outage that return at once, the lowest class among them. */
  @Test
  void refusedCallersReturnSpreadAndHighestPriorityFirst() {
    long[] earliest = {Long.MAX_VALUE, Long.MAX_VALUE};
    long[] latest = new long[2];
    for (int i = 0; i < 1_000; i++) {
      for (int priority = 0; priority < 2; priority++) {
        long after = StatementAdmission.retryAfterMillis(2_000, priority, random.nextDouble());
        earliest[priority] = Math.min(earliest[priority], after);
        latest[priority] = Math.max(latest[priority], after);
      }
    }

    assertThat(latest[0], is(lessThanOrEqualTo(earliest[1])));
    assertThat(latest[0] - earliest[0], is(greaterThan(900L)));
    assertThat(earliest[0], is(greaterThan(1_999L)));
  }

  @Test
  void causeLastsUntilAStatementRuns() {
    CauseTracker tracker = new CauseTracker();
    assertThat(tracker.record("bonds", true, ResultCode.NO_PRIMARY, 1_000), is(1_000L));
    assertThat(tracker.record("bonds", true, ResultCode.NO_PRIMARY, 1_900), is(1_000L));
    tracker.recordRun("bonds", false);
    assertThat(tracker.record("bonds", true, ResultCode.NO_PRIMARY, 2_000), is(1_000L));
    tracker.recordRun("bonds", true);
    assertThat(tracker.record("bonds", true, ResultCode.NO_PRIMARY, 2_100), is(2_100L));
    assertThat(tracker.record("bonds", true, ResultCode.NO_PRIMARY, 9_000), is(9_000L));
  }

  private Decision decide(Cause cause, int priority, long latestStartMillis, long now) {
    RequestProfile profile = new RequestProfile("acme", priority, now + 800, "");
    return StatementAdmission.decide(
        cause, profile, latestStartMillis, 40, random.nextDouble(), now);
  }
}
