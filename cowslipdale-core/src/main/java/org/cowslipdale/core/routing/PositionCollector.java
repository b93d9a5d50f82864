package org.cowslipdale.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipdale.core.control.ClockDrift;

/**
 * Collects, on the control leader, the newest position of each primary from the reports of VMs.
 *
 * <p>Each position is known to cover every commit acknowledged before a time on the leader's clock.
 * That time is a lower bound: it is computed from a leader time repeated in the report, which is
 * earlier than the sending of the report. This class is not thread-safe.
 */
public final class PositionCollector {

  /** Exceeds the age limits of routes, so that no read could use an older position. */
  private static final long RETENTION_MILLIS = 5_000;

  private final long leaderTerm;
  private final Map<String, PositionSample> newest = new HashMap<>();

  /**
   * Creates an empty collector for a new leader.
   *
   * @param leaderTerm the control log term of the leader
   */
  public PositionCollector(long leaderTerm) {
    this.leaderTerm = leaderTerm;
  }

  /**
   * Adds the positions of a report.
   *
   * @param report the report; ignored if it refers to another leader's clock
   */
  public void addReport(PositionReport report) {
    if (report.leaderTerm() != leaderTerm) {
      return;
    }
    for (AgedPosition position : report.positions()) {
      long coveredMillis = report.sentAfterMillis() - ClockDrift.maxElapsedMillis(position.ageMillis());
      PositionSample sample =
          new PositionSample(position.term(), position.position(), coveredMillis);
      newest.merge(
          position.database(),
          sample,
          (current, added) -> added.sentMillis() > current.sentMillis() ? added : current);
    }
  }

  /**
   * Returns the newest positions to send to VMs, without those that are too old to be useful.
   *
   * @param now the current time on the leader's monotonic clock, in milliseconds
   */
  public PositionUpdate createUpdate(long now) {
    newest.values().removeIf(sample -> sample.sentMillis() < now - RETENTION_MILLIS);
    List<AgedPosition> positions = new ArrayList<>();
    newest.forEach(
        (database, sample) ->
            positions.add(
                new AgedPosition(
                    database, sample.term(), sample.position(), now - sample.sentMillis())));
    return new PositionUpdate(leaderTerm, now, positions);
  }
}
