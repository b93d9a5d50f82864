package org.cowslipdale.core.routing;

import org.cowslipdale.core.view.Freshness;

/**
 * Until when a VM may rely on its view.
 *
 * @param endMillis when the latest lease ends or ended, on the VM's monotonic clock
 */
public record LeaseStatus(long endMillis) {

  private static final long ANY_AGE = Long.MAX_VALUE;

  /**
   * Tells whether the lease is valid.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public boolean isValid(long now) {
    return now < endMillis;
  }

  /**
   * Returns the greatest age that a server may state for its data, in milliseconds; negative if no
   * data is known to be recent enough.
   *
   * <p>Once the lease has ended, another primary may write where this VM cannot see it. Whatever a
   * server holds is then known to be current only as of the end of the lease at the latest.
   *
   * @param freshness how recent the data must be
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public long permittedAgeMillis(Freshness freshness, long now) {
    return switch (freshness) {
      case Freshness.BoundedAge bounded -> bounded.maxAgeMillis() - expiredForMillis(now);
      case Freshness.Latest latest -> 0;
      case Freshness.Session session -> ANY_AGE;
      case Freshness.AnyAge any -> ANY_AGE;
    };
  }

  /**
   * Returns how long ago the lease ended, in milliseconds; 0 while it is valid.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public long expiredForMillis(long now) {
    return Math.max(0, now - endMillis);
  }
}
