package org.cowslipdale.core.routing;

/**
 * Until when a VM may rely on its view.
 *
 * @param endMillis when the latest lease ends or ended, on the VM's monotonic clock
 */
public record LeaseStatus(long endMillis) {

  /**
   * Tells whether the lease is valid.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public boolean isValid(long now) {
    return now < endMillis;
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
