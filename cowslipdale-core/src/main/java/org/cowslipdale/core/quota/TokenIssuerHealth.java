package org.cowslipdale.core.quota;

import org.cowslipdale.core.control.LeaseTimings;

/**
 * Tracks whether the token issuer answers a VM. While it does not, the VM serves customers at its
 * share of their rates, and retries the issuer at a fixed interval.
 *
 * <p>This class is safe for use by several threads.
 */
public final class TokenIssuerHealth {

  /** Time before an unresponsive issuer is retried, in milliseconds: one lease renewal. */
  private static final long RETRY_INTERVAL_MILLIS = LeaseTimings.RENEWAL_INTERVAL_MILLIS;

  /**
   * Time without an answer after which the issuer is considered unresponsive, in milliseconds.
   * Longer than a round trip between regions.
   */
  private static final long UNRESPONSIVE_AFTER_MILLIS = 200;

  /**
   * Time after the first answer during which an issuer may have issued less than the rate allows,
   * in milliseconds. A new issuer starts with empty buckets and meets all requests that waited.
   */
  private static final long RECOVERY_MILLIS = 3_000;

  private boolean silent = true;
  private long recoveredMillis;
  private long lastAnswerMillis = Long.MIN_VALUE;
  private long unresponsiveUntilMillis = Long.MIN_VALUE;

  /**
   * Returns whether the issuer is unresponsive, so that requests should not wait for it.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized boolean isUnresponsive(long now) {
    return now < unresponsiveUntilMillis;
  }

  /**
   * Returns whether the issuer does not answer or has only recently begun to, so that requests
   * without a token should try again.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized boolean isRecovering(long now) {
    return silent || now < recoveredMillis + RECOVERY_MILLIS;
  }

  /** Records that the VM cannot reach the issuer. */
  public synchronized void recordSilence() {
    silent = true;
  }

  /**
   * Records an answer of the issuer.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized void recordAnswer(long now) {
    if (silent) {
      silent = false;
      recoveredMillis = now;
    }
    lastAnswerMillis = now;
    unresponsiveUntilMillis = now;
  }

  /**
   * Records that a request got no token.
   *
   * @param waitingSinceMillis when the request started to wait, on the VM's monotonic clock
   * @param now the current time on the VM's monotonic clock, in milliseconds
   * @return whether the issuer is unresponsive, rather than out of tokens
   */
  public synchronized boolean recordMissingToken(long waitingSinceMillis, long now) {
    boolean unresponsive =
        lastAnswerMillis < waitingSinceMillis
            && now >= waitingSinceMillis + UNRESPONSIVE_AFTER_MILLIS;
    if (unresponsive) {
      silent = true;
      unresponsiveUntilMillis = now + RETRY_INTERVAL_MILLIS;
    }
    return unresponsive;
  }
}
