package org.cowslipdale.core.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Determines from a VM's regular traffic which primaries it can reach.
 *
 * <p>Any answer shows that the primary is running. Only failed attempts to open a new connection
 * count as failures, because an existing connection can stall for reasons unrelated to the server.
 *
 * <p>This class is thread-safe.
 */
public final class PrimaryTrafficMonitor implements PrimaryMonitor {

  /**
   * How long an answer shows that the primary is reachable, in milliseconds: one round of lease
   * renewals.
   */
  private static final long ANSWER_VALIDITY_MILLIS = 800;

  /**
   * How long failed attempts count, in milliseconds. The attempts are repeated for as long as the
   * VM needs a connection.
   */
  private static final long FAILURE_VALIDITY_MILLIS = 2_500;

  /** The number of consecutive failures after which a primary is reported as unreachable. */
  private static final int FAILURE_THRESHOLD = 2;

  private final Map<String, Observation> observations = new ConcurrentHashMap<>();

  private record Observation(
      long term, long lastAnswerMillis, long lastFailureMillis, int failures) {

    static Observation none(long term) {
      return new Observation(term, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2, 0);
    }
  }

  /**
   * Records that a primary answered.
   *
   * @param database the database
   * @param term the term in which the server is primary
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public void recordAnswer(String database, long term, long now) {
    Observation known = observations.get(database);
    boolean reachable = known != null && known.term() == term && known.failures() == 0;
    if (reachable && now - known.lastAnswerMillis() < ANSWER_VALIDITY_MILLIS / 4) {
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
   * @param now the current time on the VM's monotonic clock, in milliseconds
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
              Observation base =
                  before == null || before.term() < term ? Observation.none(term) : before;
              return new Observation(term, base.lastAnswerMillis(), now, base.failures() + 1);
            });
    return after.failures() == FAILURE_THRESHOLD;
  }

  /**
   * Returns when a primary last answered.
   *
   * @param database the database
   * @param term the term in which the server is primary
   * @return the time on the VM's monotonic clock, in milliseconds; a time in the far past if the
   *     primary has not answered in this term
   */
  public long lastAnswerMillis(String database, long term) {
    Observation known = observations.get(database);
    return known == null || known.term() != term ? Long.MIN_VALUE / 2 : known.lastAnswerMillis();
  }

  @Override
  public List<PrimaryTerm> unreachablePrimaries(long now) {
    List<PrimaryTerm> unreachable = new ArrayList<>();
    observations.forEach(
        (database, known) -> {
          if (known.failures() >= FAILURE_THRESHOLD
              && now - known.lastFailureMillis() < FAILURE_VALIDITY_MILLIS) {
            unreachable.add(new PrimaryTerm(database, known.term()));
          }
        });
    return unreachable;
  }

  @Override
  public List<PrimaryTerm> reachablePrimaries(long now) {
    List<PrimaryTerm> reachable = new ArrayList<>();
    observations.forEach(
        (database, known) -> {
          if (known.failures() == 0 && now - known.lastAnswerMillis() < ANSWER_VALIDITY_MILLIS) {
            reachable.add(new PrimaryTerm(database, known.term()));
          }
        });
    return reachable;
  }
}
