package org.cowslipdale.core.routing;

import org.cowslipdale.core.view.Freshness;

/**
 * The end of a VM's lease, up to which the VM may rely on its view.
 *
 * @param endMillis when the latest lease ends or ended, on the VM's monotonic clock
 */
public record LeaseStatus(long endMillis) {

  private static final long ANY_AGE = Long.MAX_VALUE;

  /**
   * Returns whether the lease is valid.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public boolean isValid(long now) {
    return now < endMillis;
  }

  /**
   * Returns the maximum age that a server may report for its data, in milliseconds.
   *
   * <p>After the lease has ended, another primary may accept writes that this VM does not know of.
   * The data of a server is then known to be current as of the end of the lease at the latest, so
   * the time since then counts as additional age.
   *
   * @param freshness how recent the data must be
   * @param now the current time on the VM's monotonic clock, in milliseconds
   * @return the maximum age, negative if no data is known to be recent enough
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
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public long expiredForMillis(long now) {
    return Math.max(0, now - endMillis);
  }
}
