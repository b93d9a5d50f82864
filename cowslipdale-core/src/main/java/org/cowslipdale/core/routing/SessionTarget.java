package org.cowslipdale.core.routing;

import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.session.LogPosition;
import org.jspecify.annotations.Nullable;

/** Where a statement of a session runs, or why it cannot run now. */
public sealed interface SessionTarget {

  /**
   * Run it on a server.
   *
   * @param server the server
   * @param term the term of the view in which it was chosen
   * @param asPrimary whether it was chosen as the primary of that term
   * @param minPosition the position that the server's log must contain, or null
   * @param leaseRequired whether the answer counts only if the lease is still valid when it arrives
   * @param completeUntilMillis the time on the VM's monotonic clock up to which the server's data is known
   *     to be complete: that of {@code minPosition}, or of the choice if there is none
   */
  record RunOn(
      BackendServer server,
      long term,
      boolean asPrimary,
      @Nullable LogPosition minPosition,
      boolean leaseRequired,
      long completeUntilMillis)
      implements SessionTarget {}

  /**
   * No server suits now, but one may soon.
   *
   * @param code the code to report if none does
   * @param untilMillis before when no server will suit, on the VM's monotonic clock; a past time if
   *     that is not known
   */
  record Wait(ResultCode code, long untilMillis) implements SessionTarget {

    /**
     * Creates a wait for something that may happen at any time.
     *
     * @param code the code to report if it does not happen
     */
    public Wait(ResultCode code) {
      this(code, Long.MIN_VALUE);
    }
  }
}
