package org.cowslipdale.core.quota;

/**
 * A token bucket that a VM uses for a customer while it cannot reach the token issuer.
 *
 * <p>It starts with one token and holds at most what the VM's share of the rate yields in one
 * second, but at least one token. This class is safe for use by several threads.
 */
public final class LocalTokenBucket {

  private double tokens;
  private long lastRefillMillis = Long.MIN_VALUE;

  /**
   * Takes a token if one is available.
   *
   * @param ratePerSecond the VM's share of the rate
   * @param now the current time on the VM's monotonic clock, in milliseconds
   * @return whether a token was taken
   */
  public synchronized boolean tryTake(double ratePerSecond, long now) {
    if (lastRefillMillis == Long.MIN_VALUE) {
      lastRefillMillis = now;
      tokens = 1;
    }
    double accrued = (now - lastRefillMillis) * ratePerSecond / 1_000;
    tokens = Math.min(Math.max(1, ratePerSecond), tokens + accrued);
    lastRefillMillis = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
