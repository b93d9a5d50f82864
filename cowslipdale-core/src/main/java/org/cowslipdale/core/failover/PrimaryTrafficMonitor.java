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
public final class PrimaryTrafficMonitor implements PrimaryMonitor {

  /** How long an answer counts as a sign of life, in milliseconds; one round of lease renewals. */
  private static final long ANSWER_VALIDITY_MILLIS = 800;

  /** How long failed attempts count, in milliseconds; they are repeated while the need lasts. */
  private static final long FAILURE_VALIDITY_MILLIS = 2_500;

  private static final int FAILURE_THRESHOLD = 2;

  private final Map<String, Observation> observations = new ConcurrentHashMap<>();

  private record Observation(long term, long lastAnswerMillis, long lastFailureMillis, int failures) {

    static Observation none(long term) {
      return new Observation(term, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2, 0);
    }
  }

  /**
   * Records an answer of a primary.
   *
   * @param database the database
   * @param term the term in which the server is primary
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public void recordAnswer(String database, long term, long now) {
    Observation known = observations.get(database);
    boolean fresh = known != null && known.term() == term && known.failures() == 0;
    if (fresh && now - known.lastAnswerMillis() < ANSWER_VALIDITY_MILLIS / 4) {
      return;
    }
    observations.compute(
        database,
        (name, before) ->
            before != null && before.term() > term
                ? before
                : new Observation(term, now, Long.MIN_VALUE / 2, 0));
  }

  /**
   * Records that no connection to a primary could be opened.
   *
   * @param database the database
   * @param term the term in which the server is primary
   * @param now the present time on the VM's monotonic clock, in milliseconds
   * @return whether the primary is now reported as unreachable for the first time
   */
  public boolean recordFailure(String database, long term, long now) {
    Observation after =
        observations.compute(
            database,
            (name, before) -> {
              if (before != null && before.term() > term) {
                return before;
              }
              Observation base = before == null || before.term() < term ? Observation.none(term) : before;
              return new Observation(term, base.lastAnswerMillis(), now, base.failures() + 1);
            });
    return after.failures() == FAILURE_THRESHOLD;
  }

  /**
   * Returns when a primary last answered, on the VM's monotonic clock.
   *
   * @param database the database
   * @param term the term in which the server is primary
   */
  public long lastAnswerMillis(String database, long term) {
    Observation known = observations.get(database);
    return known == null || known.term() != term ? Long.MIN_VALUE / 2 : known.lastAnswerMillis();
  }

  @Override
  public List<PrimaryTerm> unreachablePrimaries(long now) {
    List<PrimaryTerm> reports = new ArrayList<>();
    observations.forEach(
        (database, known) -> {
          if (known.failures() >= FAILURE_THRESHOLD
              && now - known.lastFailureMillis() < FAILURE_VALIDITY_MILLIS) {
            reports.add(new PrimaryTerm(database, known.term()));
          }
        });
    return reports;
  }

  @Override
  public List<PrimaryTerm> reachablePrimaries(long now) {
    List<PrimaryTerm> reports = new ArrayList<>();
    observations.forEach(
        (database, known) -> {
          if (known.failures() == 0 && now - known.lastAnswerMillis() < ANSWER_VALIDITY_MILLIS) {
            reports.add(new PrimaryTerm(database, known.term()));
          }
        });
    return reports;
  }
}
