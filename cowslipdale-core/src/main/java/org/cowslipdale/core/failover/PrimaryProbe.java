package org.cowslipdale.core.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts the failed probes of primaries on one VM; confined to one thread. */
public final class PrimaryProbe implements PrimaryReports {

  /** How often a primary is probed, in milliseconds. */
  public static final long INTERVAL_MILLIS = 300;

  /** How long a probe waits for its answer, in milliseconds. */
  public static final long TIMEOUT_MILLIS = 600;

  private static final int FAILURES_TO_REPORT = 2;

  private final Map<String, Count> counts = new HashMap<>();

  private record Count(long term, int failures) {}

  /**
   * Records the result of a probe.
   *
   * @param database the database
   * @param term the term in which the probed server is primary
   * @param healthy whether it answered as the primary of that term
   * @return whether the report of this VM changed
   */
  public boolean record(String database, long term, boolean healthy) {
    boolean before = isSuspect(database);
    if (healthy) {
      counts.remove(database);
    } else {
      Count count = counts.get(database);
      boolean same = count != null && count.term() == term;
      counts.put(database, new Count(term, same ? count.failures() + 1 : 1));
    }
    return before != isSuspect(database);
  }

  /**
   * Drops the counts of databases that this VM no longer probes.
   *
   * @param databases the databases that it probes
   */
  public void retain(List<String> databases) {
    counts.keySet().retainAll(databases);
  }

  @Override
  public List<ProbeReport> reached(long now) {
    return List.of();
  }

  @Override
  public List<ProbeReport> failing(long now) {
    List<ProbeReport> reports = new ArrayList<>();
    counts.forEach(
        (database, count) -> {
          if (count.failures() >= FAILURES_TO_REPORT) {
            reports.add(new ProbeReport(database, count.term()));
          }
        });
    return reports;
  }

  private boolean isSuspect(String database) {
    Count count = counts.get(database);
    return count != null && count.failures() >= FAILURES_TO_REPORT;
  }
}
