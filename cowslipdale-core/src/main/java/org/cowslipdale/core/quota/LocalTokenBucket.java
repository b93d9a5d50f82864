package org.cowslipdale.core.quota;

/**
 * A token bucket of one VM that cannot reach the owner of the tokens.
 *
 * <p>It starts with one token and holds at most what the share yields in one second. This class is
 * safe for use by several threads.
 */
public final class LocalTokenBucket {

  private double tokens;
  private long lastRefillMillis = Long.MIN_VALUE;

  /**
   * Takes a token if there is one.
   *
   * @param ratePerSecond the VM's share of the rate
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized boolean tryTake(double ratePerSecond, long now) {
    if (lastRefillMillis == Long.MIN_VALUE) {
      lastRefillMillis = now;
      tokens = 1;
    }
    double earned = (now - lastRefillMillis) * ratePerSecond / 1_000;
    tokens = Math.min(Math.max(1, ratePerSecond), tokens + earned);
    lastRefillMillis = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
