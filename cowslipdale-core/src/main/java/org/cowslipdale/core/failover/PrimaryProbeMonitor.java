package org.cowslipdale.core.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts the failed probes of primaries on one VM; confined to one thread. */
public final class PrimaryProbeMonitor implements PrimaryMonitor {

  /** How often a primary is probed, in milliseconds. */
  public static final long INTERVAL_MILLIS = 300;

  /** How long a probe waits for its answer, in milliseconds. */
  public static final long TIMEOUT_MILLIS = 600;

  private static final int FAILURE_THRESHOLD = 2;

  private final Map<String, FailureCount> failureCounts = new HashMap<>();

  private record FailureCount(long term, int failures) {}

  /**
   * Records the result of a probe.
   *
   * @param database the database
   * @param term the term in which the probed server is primary
   * @param healthy whether it answered as the primary of that term
   * @return whether the report of this VM changed
   */
  public boolean recordResult(String database, long term, boolean healthy) {
    boolean before = isSuspect(database);
    if (healthy) {
      failureCounts.remove(database);
    } else {
      FailureCount count = failureCounts.get(database);
      boolean same = count != null && count.term() == term;
      failureCounts.put(database, new FailureCount(term, same ? count.failures() + 1 : 1));
    }
    return before != isSuspect(database);
  }

  /**
   * Drops the counts of databases that this VM no longer probes.
   *
   * @param databases the databases that it probes
   */
  public void retainDatabases(List<String> databases) {
    failureCounts.keySet().retainAll(databases);
  }

  @Override
  public List<PrimaryTerm> reachablePrimaries(long now) {
    return List.of();
  }

  @Override
  public List<PrimaryTerm> unreachablePrimaries(long now) {
    List<PrimaryTerm> reports = new ArrayList<>();
    failureCounts.forEach(
        (database, count) -> {
          if (count.failures() >= FAILURE_THRESHOLD) {
            reports.add(new PrimaryTerm(database, count.term()));
          }
        });
    return reports;
  }

  private boolean isSuspect(String database) {
    FailureCount count = failureCounts.get(database);
    return count != null && count.failures() >= FAILURE_THRESHOLD;
  }
}
