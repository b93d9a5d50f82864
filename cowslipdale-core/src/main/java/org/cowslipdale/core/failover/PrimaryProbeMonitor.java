package org.cowslipdale.core.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts the consecutive failed probes of each primary that this VM probes.
 *
 * <p>This class is confined to one thread.
 */
public final class PrimaryProbeMonitor implements PrimaryMonitor {

  /** The interval between two probes of a primary, in milliseconds. */
  public static final long INTERVAL_MILLIS = 300;

  /** How long a probe waits for the answer, in milliseconds. */
  public static final long TIMEOUT_MILLIS = 600;

  /** The number of consecutive failures after which a primary is reported as unreachable. */
  private static final int FAILURE_THRESHOLD = 2;

  private final Map<String, FailureCount> failureCounts = new HashMap<>();

  private record FailureCount(long term, int failures) {}

  /**
   * Records the result of a probe.
   *
   * @param database the database
   * @param term the term in which the probed server is primary
   * @param healthy whether the server answered as the primary of that term
   * @return whether the report of this VM about the database changed
   */
  public boolean recordResult(String database, long term, boolean healthy) {
    boolean before = isSuspect(database);
    if (healthy) {
      failureCounts.remove(database);
    } else {
      FailureCount count = failureCounts.get(database);
      boolean sameTerm = count != null && count.term() == term;
      failureCounts.put(database, new FailureCount(term, sameTerm ? count.failures() + 1 : 1));
    }
    return before != isSuspect(database);
  }

  /**
   * Removes the failure counts of databases that this VM no longer probes.
   *
   * @param databases the databases that this VM probes
   */
  public void retainDatabases(List<String> databases) {
    failureCounts.keySet().retainAll(databases);
  }

  /** Returns an empty list; probes report unreachable primaries only. */
  @Override
  public List<PrimaryTerm> reachablePrimaries(long now) {
    return List.of();
  }

  @Override
  public List<PrimaryTerm> unreachablePrimaries(long now) {
    List<PrimaryTerm> unreachable = new ArrayList<>();
    failureCounts.forEach(
        (database, count) -> {
          if (count.failures() >= FAILURE_THRESHOLD) {
            unreachable.add(new PrimaryTerm(database, count.term()));
          }
        });
    return unreachable;
  }

  private boolean isSuspect(String database) {
    FailureCount count = failureCounts.get(database);
    return count != null && count.failures() >= FAILURE_THRESHOLD;
  }
}
