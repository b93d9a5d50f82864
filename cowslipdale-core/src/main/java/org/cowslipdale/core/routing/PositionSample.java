package org.cowslipdale.core.routing;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.session.LogPosition;

/**
 * A log position that a primary stated under a valid lease.
 *
 * <p>It covers every commit that was acknowledged before {@code sentMillis}, whichever VM
 * acknowledged it, because no other primary can have been promoted while the lease was valid.
 *
 * @param term the term of the view in which the server was primary
 * @param position the position, in terms of the server's log
 * @param sentMillis when the statement was sent that it answers, on the VM's monotonic clock
 */
public record PositionSample(long term, LogPosition position, long sentMillis) {

  /** Asserts that the position is set. */
  public PositionSample {
    requireNonNull(position, "position");
  }
}
