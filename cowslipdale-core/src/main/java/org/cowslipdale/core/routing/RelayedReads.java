package org.cowslipdale.core.routing;

import org.cowslipdale.core.view.Freshness;

/** Decides whether the answer to a read that a gateway sent to the server is recent enough. */
public final class RelayedReads {

  private RelayedReads() {}

  /**
   * Returns whether a read reached its server early enough for its age limit.
   *
   * <p>The position that a bounded-age read requires was chosen so that the read may take {@link
   * SessionRouter#TRANSIT_MILLIS} to reach the server. A gateway adds its own waits and the way to
   * it. If the answer took longer in all, the read still counts if its position was recent enough
   * for both delays. Other reads depend on a lease, which is checked when the answer arrives, or on
   * no age.
   *
   * @param target how the read was sent
   * @param freshness the freshness that the read requires
   * @param sentMillis when it was sent to the gateway, on the VM's monotonic clock
   * @param elapsedMillis the time until the gateway's reply
   * @param serverMillis the part of that time for which the gateway waited for the server
   */
  public static boolean isRecentEnough(
      SessionTarget.RunOn target,
      Freshness freshness,
      long sentMillis,
      long elapsedMillis,
      long serverMillis) {
    boolean ageLimited = target.minPosition() != null;
    if (!ageLimited || !(freshness instanceof Freshness.BoundedAge bounded)) {
      return true;
    }
    if (elapsedMillis <= SessionRouter.TRANSIT_MILLIS) {
      return true;
    }
    long relayMillis = elapsedMillis - serverMillis;
    long latestArrivalMillis = sentMillis + relayMillis + SessionRouter.TRANSIT_MILLIS;
    return relayMillis <= SessionRouter.TRANSIT_MILLIS
        && latestArrivalMillis <= target.completeUntilMillis() + bounded.maxAgeMillis();
  }
}
