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
 * The positions that primaries stated to this VM and, through the control leader, to others.
 *
 * <p>One of many VMs sees too little traffic of a database to know a recent position by itself. A
 * position that came through the leader keeps a time before which it covers every commit; that time
 * is only ever moved back on its way between clocks. This class is safe for use by several threads.
 */
public final class FleetPositions {

  private final ConcurrentMap<String, PositionHistory> histories = new ConcurrentHashMap<>();
  private final ConcurrentMap<String, PositionSample> newestLocal = new ConcurrentHashMap<>();
  private final Map<String, Long> leaderKnownMillis = new HashMap<>();
  private final Map<String, Long> unconfirmedMillis = new HashMap<>();
  private @Nullable LeaderTime leaderTime;

  /** A time on a leader's clock, and when this VM learned of it. */
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
   * Takes in a position that a primary stated to this VM.
   *
   * @param database the database
   * @param sample the position
   */
  public void recordLocal(String database, PositionSample sample) {
    historyOf(database).add(sample);
    newestLocal.merge(
        database,
        sample,
        (known, added) -> added.sentMillis() > known.sentMillis() ? added : known);
  }

  /**
   * Returns what the control leader should know; to be sent at once.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
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
   * Takes in the leader's answer to the latest report.
   *
   * @param news what the leader knows
   * @param askedMillis when the request that it answers was sent, on the VM's monotonic clock
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized void applyUpdate(PositionUpdate news, long askedMillis, long now) {
    requireNonNull(news, "news");
    LeaderTime before = leaderTime;
    if (before != null && before.leaderTerm() == news.leaderTerm()) {
      leaderKnownMillis.putAll(unconfirmedMillis);
    } else {
      leaderKnownMillis.clear();
    }
    unconfirmedMillis.clear();
    leaderTime = new LeaderTime(news.leaderTerm(), news.leaderMillis(), now);
    for (AgedPosition stated : news.positions()) {
      long coveredMillis = askedMillis - ClockDrift.maxElapsedMillis(stated.ageMillis());
      leaderKnownMillis.merge(stated.database(), coveredMillis, Math::max);
      historyOf(stated.database())
          .add(new PositionSample(stated.term(), stated.position(), coveredMillis));
    }
  }

  private static AgedPosition toAgedPosition(String database, PositionSample sample, long now) {
    return new AgedPosition(database, sample.term(), sample.position(), now - sample.sentMillis());
  }
}
