package org.cowslipdale.core.routing;

import java.util.List;

/**
 * The positions that primaries stated to a VM, for the control leader.
 *
 * @param leaderTerm the term of the control log whose leader's clock is meant
 * @param sentAfterMillis a time on that leader's clock before which the report cannot have been
 *     sent
 * @param positions the newest position of each database of which the VM has news
 */
public record PositionReport(long leaderTerm, long sentAfterMillis, List<AgedPosition> positions) {

  /** A report of a VM that does not know the leader's clock yet. */
  public static final PositionReport NONE = new PositionReport(0, 0, List.of());

  /** Copies the positions. */
  public PositionReport {
    positions = List.copyOf(positions);
  }
}
