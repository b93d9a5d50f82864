package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.LongAdder;
import org.cowslipdale.core.admission.CauseTracker;
import org.cowslipdale.core.admission.StatementAdmission;
import org.cowslipdale.core.admission.StatementAdmission.Cause;
import org.cowslipdale.core.admission.StatementAdmission.Decision;
import org.cowslipdale.core.result.Outcome;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.daemon.session.SessionRunner.StatementRequest;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.cowslipdale.daemon.version.VmClock;

/** Applies {@link StatementAdmission} to the statements that a VM cannot send to a server now. */
final class StatementAdmitter {

  private final VmClock clock;
  private final CauseTracker causes = new CauseTracker();
  private final LongAdder refused = new LongAdder();

  StatementAdmitter(VmClock clock) {
    this.clock = requireNonNull(clock, "clock");
  }

  /** Returns the number of statements that were refused because they would miss their limit. */
  long refusedCount() {
    return refused.sum();
  }

  void recordRun(StatementRequest request) {
    causes.recordRun(request.operation().route().database(), request.isWrite());
  }

  /**
   * Returns for how long the statement waits before its next attempt, in milliseconds.
   *
   * @param untilMillis the time before which the cause does not end; {@link Long#MIN_VALUE} if it
   *     is not known
   * @throws RefusalException if the statement is refused; its message says when to retry
   */
  long waitMillis(
      StatementRequest request,
      ResultCode code,
      long untilMillis,
      long latestStartMillis,
      long pauseMillis)
      throws RefusalException {
    long now = clock.millis();
    ResultCode reported = code.outcome() == Outcome.NOT_RUN ? code : ResultCode.WAIT_LIMIT_REACHED;
    long since =
        causes.record(request.operation().route().database(), request.isWrite(), reported, now);
    Decision decision =
        StatementAdmission.decide(
            new Cause(reported, since, untilMillis),
            request.profile(),
            latestStartMillis,
            pauseMillis,
            ThreadLocalRandom.current().nextDouble(),
            now);
    return switch (decision) {
      case Decision.Run run -> 0;
      case Decision.WaitUntil wait -> Math.max(0, wait.untilMillis() - now);
      case Decision.Refuse refuse -> {
        refused.increment();
        DecisionLog.line(LogEvent.ADMISSION_REFUSED)
            .with("request", request.statement().id())
            .with("database", request.operation().route().database())
            .with("priority", request.priority())
            .with("code", refuse.code())
            .with("lasted_ms", now - since)
            .with("objective_ms", request.profile().objectiveMillis() - now)
            .with("latest_start_ms", latestStartMillis - now)
            .with("retry_after_ms", refuse.retryAfterMillis())
            .write();
        throw refusal(refuse.code(), refuse.retryAfterMillis());
      }
    };
  }

  /** Returns a refusal for a statement that got no slot, with the time after which to retry. */
  RefusalException queueRefusal(StatementRequest request, ResultCode code) {
    refused.increment();
    double random = ThreadLocalRandom.current().nextDouble();
    return refusal(code, StatementAdmission.retryAfterMillis(0, request.priority(), random));
  }

  private static RefusalException refusal(ResultCode code, long retryAfterMillis) {
    return new RefusalException(code, code.text() + " Retry after " + retryAfterMillis + " ms.");
  }
}
