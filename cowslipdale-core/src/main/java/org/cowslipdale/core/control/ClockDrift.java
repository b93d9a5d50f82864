package org.cowslipdale.core.control;

/**
 * Calculates bounds on the elapsed time, given a duration measured on the clock of another VM.
 *
 * <p>The clocks of two VMs have no common origin, and their rates differ by at most a tenth. {@link
 * LeaseTimings#LEASE_BOUND_MILLIS} assumes the same bound. Times are truncated to whole
 * milliseconds, which adds one millisecond to the error of a difference.
 */
public final class ClockDrift {

  private static final long MAX_DRIFT_DIVISOR = 10;

  private ClockDrift() {}

  /**
   * Returns the maximum elapsed time, in milliseconds.
   *
   * @param measuredMillis the duration measured on the clock of another VM, in milliseconds
   */
  public static long maxElapsedMillis(long measuredMillis) {
    return measuredMillis + measuredMillis / MAX_DRIFT_DIVISOR + 2;
  }

  /**
   * Returns the minimum elapsed time, in milliseconds.
   *
   * @param measuredMillis the duration measured on the clock of another VM, in milliseconds
   */
  public static long minElapsedMillis(long measuredMillis) {
    return Math.max(0, measuredMillis - measuredMillis / MAX_DRIFT_DIVISOR - 2);
  }
}
