package org.cowslipdale.core.control;

/**
 * Bounds on durations that were measured on the clock of another VM.
 *
 * <p>Clocks of two VMs share no origin and run at rates that differ by a tenth at most, the bound
 * behind {@link LeaseTimings#LEASE_BOUND_MILLIS}. Times are cut to whole milliseconds, which adds
 * one to the error of a difference.
 */
public final class ClockDrift {

  private static final long MAX_DRIFT_DIVISOR = 10;

  private ClockDrift() {}

  /**
   * Returns the longest time that may have passed, in milliseconds.
   *
   * @param measuredMillis what another VM measured, in milliseconds
   */
  public static long maxElapsedMillis(long measuredMillis) {
    return measuredMillis + measuredMillis / MAX_DRIFT_DIVISOR + 2;
  }

  /**
   * Returns the shortest time that may have passed, in milliseconds.
   *
   * @param measuredMillis what another VM measured, in milliseconds
   */
  public static long minElapsedMillis(long measuredMillis) {
    return Math.max(0, measuredMillis - measuredMillis / MAX_DRIFT_DIVISOR - 2);
  }
}
