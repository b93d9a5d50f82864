package org.cowslipdale.core.admission;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipdale.core.result.ResultCode;

/**
 * Tracks since when a VM finds no server for the statements of a database, by cause. Thread-safe.
 */
public final class CauseTracker {

  /**
   * A cause that no statement met for this long counts as ended. Longer than the time between
   * attempts of a waiting statement.
   */
  private static final long FORGET_MILLIS = 1_000;

  /** Bounds the memory; causes that are forgotten are removed beyond it. */
  private static final int MAX_CAUSES = 4_096;

  private final Map<Key, Period> periods = new ConcurrentHashMap<>();

  private record Key(String database, boolean write, ResultCode code) {}

  private record Period(long sinceMillis, long lastMillis) {}

  /**
   * Records that a statement met a cause.
   *
   * @param database the name of the database
   * @param write whether the statement writes
   * @param code the result code of the cause
   * @param now the current time on the VM's monotonic clock, in milliseconds
   * @return since when the cause has lasted
   */
  public long record(String database, boolean write, ResultCode code, long now) {
    if (periods.size() >= MAX_CAUSES) {
      periods.values().removeIf(period -> now - period.lastMillis() > FORGET_MILLIS);
    }
    return periods
        .merge(
            new Key(database, write, code),
            new Period(now, now),
            (old, fresh) ->
                now - old.lastMillis() > FORGET_MILLIS ? fresh : new Period(old.sinceMillis(), now))
        .sinceMillis();
  }

  /**
   * Records that a statement ran, which ends all causes of its kind at its database.
   *
   * @param database the name of the database
   * @param write whether the statement writes
   */
  public void recordRun(String database, boolean write) {
    if (!periods.isEmpty()) {
      periods.keySet().removeIf(key -> key.write() == write && key.database().equals(database));
    }
  }
}
