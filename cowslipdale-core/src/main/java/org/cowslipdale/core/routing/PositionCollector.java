package org.cowslipdale.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipdale.core.control.ClockDrift;

/**
 * The newest positions of primaries that VMs reported to a control leader.
 *
 * <p>Each is known to cover every commit acknowledged before a time on the leader's clock. That
 * time is bounded from below: a report was sent after the leader's own time that it repeats. This
 * class is confined to one thread.
 */
public final class PositionCollector {

  /** A position that is older helps no read, in milliseconds; longer than routes' limits. */
  private static final long RETENTION_MILLIS = 5_000;

  private final long leaderTerm;
  private final Map<String, PositionSample> newest = new HashMap<>();

  /**
   * Creates the board of a new leader.
   *
   * @param leaderTerm the term of the control log in which it leads
   */
  public PositionCollector(long leaderTerm) {
    this.leaderTerm = leaderTerm;
  }

  /**
   * Takes in a report.
   *
   * @param report the report; one that refers to another leader's clock is ignored
   */
  public void addReport(PositionReport report) {
    if (report.leaderTerm() != leaderTerm) {
      return;
    }
    for (AgedPosition stated : report.positions()) {
      long coveredMillis = report.sentAfterMillis() - ClockDrift.maxElapsedMillis(stated.ageMillis());
      PositionSample sample = new PositionSample(stated.term(), stated.position(), coveredMillis);
      newest.merge(
          stated.database(),
          sample,
          (known, added) -> added.sentMillis() > known.sentMillis() ? added : known);
    }
  }

  /**
   * Returns what VMs should know.
   *
   * @param now the present time on the leader's monotonic clock, in milliseconds
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
