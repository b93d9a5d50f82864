package org.cowslipdale.core.routing;

import java.util.List;

/**
 * The newest positions of primaries that the control leader knows.
 *
 * @param leaderTerm the term of the control log in which the sender leads
 * @param leaderMillis the time on the leader's clock
 * @param positions the newest position of each database
 */
public record PositionUpdate(long leaderTerm, long leaderMillis, List<AgedPosition> positions) {

  /** What a VM sends that does not lead. */
  public static final PositionUpdate NONE = new PositionUpdate(0, 0, List.of());

  /** Copies the positions. */
  public PositionUpdate {
    positions = List.copyOf(positions);
  }
}
