package org.cowslipdale.core.admission;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.result.ResultCode;

/**
 * Decides what becomes of a statement that no server can run now.
 *
 * <p>Callers abandon an operation after a few quick refusals, so a statement waits as long as it
 * can still be expected to run before its limit. Otherwise it is refused at once and not held to
 * the end of its limit.
 */
public final class StatementAdmission {

  /** The shortest time after which a caller should come back. */
  private static final long MIN_RETRY_AFTER_MILLIS = 20;

  /** Bounds of the time over which the callers of one priority return. */
  private static final long MIN_SPREAD_MILLIS = 50;

  private static final long MAX_SPREAD_MILLIS = 1_000;

  /** Priorities from this one on return together. */
  private static final int LOWEST_PRIORITY = 7;

  private StatementAdmission() {}

  /**
   * Why no server can run a statement now.
   *
   * @param code the result code of the cause
   * @param sinceMillis since when the cause has lasted, on the VM's monotonic clock
   * @param untilMillis the time before which it does not end; {@link Long#MIN_VALUE} if it is not
   *     known
   */
  public record Cause(ResultCode code, long sinceMillis, long untilMillis) {

    /** Checks that the code is not null. */
    public Cause {
      requireNonNull(code, "code");
    }
  }

  /** The decision on a statement. */
  public sealed interface Decision {

    /** The statement is tried again at once. */
    record Run() implements Decision {}

    /**
     * The statement waits and is then tried again.
     *
     * @param untilMillis the end of the wait, on the VM's monotonic clock
     */
    record WaitUntil(long untilMillis) implements Decision {}

    /**
     * The statement is refused; it did not run.
     *
     * @param code the result code
     * @param retryAfterMillis the time after which a retry makes sense, in milliseconds
     */
    record Refuse(ResultCode code, long retryAfterMillis) implements Decision {}
  }

  /**
   * Decides on a statement.
   *
   * <p>A cause that has lasted for some time is expected to last for half of that time more, and at
   * least for as long as it is known to last. If the statement then is past its latest start, it is
   * refused. The objective does not lead to a refusal, since a late answer is worth more to the
   * caller than none; it halves the last pause before it.
   *
   * @param cause why no server can run the statement
   * @param profile the priority and objective of the statement
   * @param latestStartMillis the time by which the statement must be sent
   * @param pauseMillis the time between attempts if the end of the cause is not known
   * @param random a random number from 0 to 1, which spreads retries
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public static Decision decide(
      Cause cause,
      RequestProfile profile,
      long latestStartMillis,
      long pauseMillis,
      double random,
      long now) {
    long remaining = expectedRemainingMillis(cause, now);
    if (now >= latestStartMillis || now + remaining > latestStartMillis) {
      return new Decision.Refuse(
          cause.code(), retryAfterMillis(remaining, profile.priority(), random));
    }
    if (cause.untilMillis() > now) {
      return new Decision.WaitUntil(cause.untilMillis());
    }
    if (pauseMillis <= 0) {
      return new Decision.Run();
    }
    boolean objectiveNear = now + pauseMillis > profile.objectiveMillis();
    long pause = objectiveNear && now < profile.objectiveMillis() ? pauseMillis / 2 : pauseMillis;
    return new Decision.WaitUntil(Math.min(latestStartMillis, now + Math.max(1, pause)));
  }

  /**
   * Returns after how many milliseconds a retry makes sense. Each priority returns during a time of
   * its own, the highest first, so that a server that is available again is not overloaded at once.
   *
   * @param remainingMillis the expected time until the cause has ended
   * @param priority the priority of the statement
   * @param random a random number from 0 to 1
   */
  public static long retryAfterMillis(long remainingMillis, int priority, double random) {
    long spread = Math.clamp(remainingMillis / 2, MIN_SPREAD_MILLIS, MAX_SPREAD_MILLIS);
    double position = Math.min(priority, LOWEST_PRIORITY) + random;
    return Math.max(MIN_RETRY_AFTER_MILLIS, remainingMillis) + Math.round(spread * position);
  }

  private static long expectedRemainingMillis(Cause cause, long now) {
    long byAge = Math.max(0, now - cause.sinceMillis()) / 2;
    return Math.max(
        byAge, Math.max(0, cause.untilMillis() == Long.MIN_VALUE ? 0 : cause.untilMillis() - now));
  }
}
