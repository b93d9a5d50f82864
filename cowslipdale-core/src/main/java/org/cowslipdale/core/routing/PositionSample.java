package org.cowslipdale.core.routing;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.session.LogPosition;

/**
 * A log position that a primary reported under a valid lease.
 *
 * <p>It covers every commit that was acknowledged before {@code sentMillis}, whichever VM
 * acknowledged it, because no other primary can have been promoted while the lease was valid.
 *
 * @param term the view term in which the server was primary
 * @param position the log position of the server
 * @param sentMillis when the statement whose reply carried the position was sent, on the VM's
 *     monotonic clock; a lower bound of that time if another VM sent the statement
 */
public record PositionSample(long term, LogPosition position, long sentMillis) {

  /** Checks that the position is not null. */
  public PositionSample {
    requireNonNull(position, "position");
  }
}
