package org.cowslipdale.core.routing;

import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.session.LogPosition;
import org.jspecify.annotations.Nullable;

/** The result of routing a statement of a session: a server, or why none can run it now. */
public sealed interface SessionTarget {

  /**
   * The statement runs on a server.
   *
   * @param server the server
   * @param term the view term in which the server was chosen
   * @param asPrimary whether the server was chosen as the primary of that term
   * @param minPosition the position that the server's log must contain, or null if any will do
   * @param leaseRequired whether the reply may be used only if the lease is still valid when it
   *     arrives
   * @param completeUntilMillis the time on the VM's monotonic clock, in milliseconds, up to which
   *     the server's data is known to be complete: that of the sample from which {@code
   *     minPosition} was derived, or the time of the choice if there is no {@code minPosition}
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
   * No server may run the statement, and waiting is of no use.
   *
   * @param code the result code
   */
  record Refuse(ResultCode code) implements SessionTarget {}

  /**
   * No server is suitable before a known time. A statement with an earlier deadline is refused at
   * once, since waiting would only delay the refusal.
   *
   * @param code the result code of the refusal
   * @param untilMillis the time on the VM's monotonic clock, in milliseconds; {@link
   *     Long#MAX_VALUE} if no wait helps
   */
  record NotBefore(ResultCode code, long untilMillis) implements SessionTarget {}

  /**
   * No server is suitable now, but one may become suitable later.
   *
   * @param code the result code if none does
   * @param untilMillis the time on the VM's monotonic clock before which no server will be
   *     suitable; {@link Long#MIN_VALUE} if it is not known
   */
  record Wait(ResultCode code, long untilMillis) implements SessionTarget {

    /**
     * Creates a wait of unknown length.
     *
     * @param code the result code if no server becomes suitable
     */
    public Wait(ResultCode code) {
      this(code, Long.MIN_VALUE);
    }
  }
}
