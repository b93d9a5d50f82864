package org.cowslipdale.core.routing;

import java.util.List;

/**
 * The log positions that primaries reported to a VM, sent to the control leader.
 *
 * @param leaderTerm the control log term of the leader to whose clock {@code sentAfterMillis}
 *     refers
 * @param sentAfterMillis a time on that leader's clock before which the report was not sent, in
 *     milliseconds
 * @param positions the newest position of each database for which the leader knows no newer one
 */
public record PositionReport(long leaderTerm, long sentAfterMillis, List<AgedPosition> positions) {

  /** The empty report of a VM that does not know the leader's clock yet. */
  public static final PositionReport NONE = new PositionReport(0, 0, List.of());

  /** Copies the positions. */
  public PositionReport {
    positions = List.copyOf(positions);
  }
}
