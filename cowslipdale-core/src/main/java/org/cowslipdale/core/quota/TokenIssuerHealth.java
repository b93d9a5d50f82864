package org.cowslipdale.core.quota;

import org.cowslipdale.core.control.LeaseTimings;

/**
 * Whether the owner of the tokens answers a VM. While it does not, the VM serves customers at its
 * share of their rates, and tries the owner again from time to time.
 *
 * <p>This class is safe for use by several threads.
 */
public final class TokenIssuerHealth {

  /** How long the VM does without an owner that did not answer, in milliseconds: a renewal. */
  private static final long RETRY_INTERVAL_MILLIS = LeaseTimings.RENEWAL_INTERVAL_MILLIS;

  /** Longer than a round trip between regions, in milliseconds. */
  private static final long UNRESPONSIVE_AFTER_MILLIS = 200;

  private long lastAnswerMillis = Long.MIN_VALUE;
  private long unresponsiveUntilMillis = Long.MIN_VALUE;

  /**
   * Tells whether requests should not wait for the owner.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized boolean isUnresponsive(long now) {
    return now < unresponsiveUntilMillis;
  }

  /**
   * Takes in an answer of the owner.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized void recordAnswer(long now) {
    lastAnswerMillis = now;
    unresponsiveUntilMillis = now;
  }

  /**
   * Takes in that a request got no token, and tells whether that is because the owner does not
   * answer.
   *
   * @param offeredMillis since when the request waited, on the VM's monotonic clock
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized boolean recordMissingToken(long offeredMillis, long now) {
    boolean silent = lastAnswerMillis < offeredMillis && now >= offeredMillis + UNRESPONSIVE_AFTER_MILLIS;
    if (silent) {
      unresponsiveUntilMillis = now + RETRY_INTERVAL_MILLIS;
    }
    return silent;
  }
}
