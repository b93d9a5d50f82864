package org.cowslipdale.core.routing;

import java.util.List;

/**
 * The newest log positions of primaries that the control leader knows, sent to other VMs.
 *
 * @param leaderTerm the control log term in which the sender is leader
 * @param leaderMillis the time on the leader's monotonic clock when the update was created, in
 *     milliseconds
 * @param positions the newest position of each database
 */
public record PositionUpdate(long leaderTerm, long leaderMillis, List<AgedPosition> positions) {

  /** The empty update sent by a VM that is not the leader. */
  public static final PositionUpdate NONE = new PositionUpdate(0, 0, List.of());

  /** Copies the positions. */
  public PositionUpdate {
    positions = List.copyOf(positions);
  }
}
