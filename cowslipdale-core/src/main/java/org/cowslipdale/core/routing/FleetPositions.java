package org.cowslipdale.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.cowslipdale.core.control.ClockDrift;
import org.jspecify.annotations.Nullable;

/**
 * The recent log positions that primaries reported to this VM or, relayed by the control leader, to
 * other VMs.
 *
 * <p>In a large fleet a single VM sends too few statements to a database to know a recent position
 * from its own traffic. Every position has a time before which it covers all commits. When that
 * time is converted from one VM's clock to another's, it may only become earlier, so a relayed
 * position never appears more recent than it is. This class is thread-safe.
 */
public final class FleetPositions {

  private final ConcurrentMap<String, PositionHistory> histories = new ConcurrentHashMap<>();
  private final ConcurrentMap<String, PositionSample> newestLocal = new ConcurrentHashMap<>();
  private final Map<String, Long> leaderKnownMillis = new HashMap<>();
  private final Map<String, Long> unconfirmedMillis = new HashMap<>();
  private @Nullable LeaderTime leaderTime;

  /** A time on the leader's clock and the time at which this VM received it. */
  private record LeaderTime(long leaderTerm, long leaderMillis, long receivedMillis) {}

  /**
   * Returns the recent positions of a database.
   *
   * @param database the database
   */
  public PositionHistory historyOf(String database) {
    return histories.computeIfAbsent(database, name -> new PositionHistory());
  }

  /**
   * Records a position that a primary reported to this VM.
   *
   * @param database the database
   * @param sample the position
   */
  public void recordLocal(String database, PositionSample sample) {
    historyOf(database).add(sample);
    newestLocal.merge(
        database,
        sample,
        (current, added) -> added.sentMillis() > current.sentMillis() ? added : current);
  }

  /**
   * Returns the positions that the control leader does not know yet. The report must be sent at
   * once, because the ages in it refer to {@code now}.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized PositionReport createReport(long now) {
    unconfirmedMillis.clear();
    LeaderTime time = leaderTime;
    if (time == null) {
      return PositionReport.NONE;
    }
    List<AgedPosition> positions = new ArrayList<>();
    newestLocal.forEach(
        (database, sample) -> {
          if (sample.sentMillis() > leaderKnownMillis.getOrDefault(database, Long.MIN_VALUE)) {
            positions.add(toAgedPosition(database, sample, now));
            unconfirmedMillis.put(database, sample.sentMillis());
          }
        });
    long sentAfter = time.leaderMillis() + ClockDrift.minElapsedMillis(now - time.receivedMillis());
    return new PositionReport(time.leaderTerm(), sentAfter, positions);
  }

  /**
   * Applies the leader's reply to the latest report.
   *
   * @param update the newest positions that the leader knows
   * @param requestedMillis when the request for this update was sent, on the VM's monotonic clock
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized void applyUpdate(PositionUpdate update, long requestedMillis, long now) {
    requireNonNull(update, "update");
    LeaderTime previous = leaderTime;
    if (previous != null && previous.leaderTerm() == update.leaderTerm()) {
      leaderKnownMillis.putAll(unconfirmedMillis);
    } else {
      leaderKnownMillis.clear();
    }
    unconfirmedMillis.clear();
    leaderTime = new LeaderTime(update.leaderTerm(), update.leaderMillis(), now);
    for (AgedPosition position : update.positions()) {
      long coveredMillis = requestedMillis - ClockDrift.maxElapsedMillis(position.ageMillis());
      leaderKnownMillis.merge(position.database(), coveredMillis, Math::max);
      historyOf(position.database())
          .add(new PositionSample(position.term(), position.position(), coveredMillis));
    }
  }

  private static AgedPosition toAgedPosition(String database, PositionSample sample, long now) {
    return new AgedPosition(database, sample.term(), sample.position(), now - sample.sentMillis());
  }
}
