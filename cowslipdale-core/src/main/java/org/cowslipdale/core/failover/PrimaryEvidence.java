package org.cowslipdale.core.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Judges primaries by the traffic that a VM has with them.
 *
 * <p>Any answer shows that the primary is alive. Only failed attempts to open a new connection
 * count against it, since an old connection may have fallen silent for reasons of its own. This
 * class is safe for use by several threads.
 */
public final class PrimaryEvidence implements PrimaryReports {

  /** How long an answer counts as a sign of life, in milliseconds; one round of lease renewals. */
  private static final long ANSWER_COUNTS_MILLIS = 800;

  /** How long failed attempts count, in milliseconds; they are repeated while the need lasts. */
  private static final long FAILURE_COUNTS_MILLIS = 2_500;

  private static final int FAILURES_TO_REPORT = 2;

  private final Map<String, Evidence> evidence = new ConcurrentHashMap<>();

  private record Evidence(long term, long answeredMillis, long failedMillis, int failures) {

    static Evidence none(long term) {
      return new Evidence(term, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2, 0);
    }
  }

  /**
   * Records an answer of a primary.
   *
   * @param database the database
   * @param term the term in which the server is primary
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public void answered(String database, long term, long now) {
    Evidence known = evidence.get(database);
    boolean fresh = known != null && known.term() == term && known.failures() == 0;
    if (fresh && now - known.answeredMillis() < ANSWER_COUNTS_MILLIS / 4) {
      return;
    }
    evidence.compute(
        database,
        (name, before) ->
            before != null && before.term() > term
                ? before
                : new Evidence(term, now, Long.MIN_VALUE / 2, 0));
  }

  /**
   * Records that no connection to a primary could be opened.
   *
   * @param database the database
   * @param term the term in which the server is primary
   * @param now the present time on the VM's monotonic clock, in milliseconds
   * @return whether the primary is now reported as unreachable for the first time
   */
  public boolean failed(String database, long term, long now) {
    Evidence after =
        evidence.compute(
            database,
            (name, before) -> {
              if (before != null && before.term() > term) {
                return before;
              }
              Evidence base = before == null || before.term() < term ? Evidence.none(term) : before;
              return new Evidence(term, base.answeredMillis(), now, base.failures() + 1);
            });
    return after.failures() == FAILURES_TO_REPORT;
  }

  /**
   * Returns when a primary last answered, on the VM's monotonic clock.
   *
   * @param database the database
   * @param term the term in which the server is primary
   */
  public long answeredMillis(String database, long term) {
    Evidence known = evidence.get(database);
    return known == null || known.term() != term ? Long.MIN_VALUE / 2 : known.answeredMillis();
  }

  @Override
  public List<ProbeReport> failing(long now) {
    List<ProbeReport> reports = new ArrayList<>();
    evidence.forEach(
        (database, known) -> {
          if (known.failures() >= FAILURES_TO_REPORT
              && now - known.failedMillis() < FAILURE_COUNTS_MILLIS) {
            reports.add(new ProbeReport(database, known.term()));
          }
        });
    return reports;
  }

  @Override
  public List<ProbeReport> reached(long now) {
    List<ProbeReport> reports = new ArrayList<>();
    evidence.forEach(
        (database, known) -> {
          if (known.failures() == 0 && now - known.answeredMillis() < ANSWER_COUNTS_MILLIS) {
            reports.add(new ProbeReport(database, known.term()));
          }
        });
    return reports;
  }
}
