package org.cowslipdale.core.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/**
 * The recent log positions that the primary of one database reported.
 *
 * <p>A bounded-age read requires the oldest position that is still recent enough, because that is
 * the one that replicas have most probably applied. This class is thread-safe.
 */
public final class PositionHistory {

  /** Samples closer in time than this would hardly change which position a read requires. */
  private static final long MIN_SPACING_MILLIS = 50;

  /** Longer than the maximum age of any route so far. */
  private static final long RETENTION_MILLIS = 10_000;

  private final Deque<PositionSample> samples = new ArrayDeque<>();

  /**
   * Adds a sample unless it is older than the latest one or too close to it.
   *
   * @param sample the sample
   */
  public synchronized void add(PositionSample sample) {
    PositionSample last = samples.peekLast();
    if (last != null && sample.sentMillis() < last.sentMillis() + MIN_SPACING_MILLIS) {
      return;
    }
    samples.addLast(sample);
    while (samples.getFirst().sentMillis() < sample.sentMillis() - RETENTION_MILLIS) {
      samples.removeFirst();
    }
  }

  /**
   * Returns the oldest sample that covers every commit acknowledged before a given time.
   *
   * @param sinceMillis the time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Optional<PositionSample> oldestSince(long sinceMillis) {
    for (Iterator<PositionSample> iterator = samples.iterator(); iterator.hasNext(); ) {
      PositionSample sample = iterator.next();
      if (sample.sentMillis() >= sinceMillis) {
        return Optional.of(sample);
      }
    }
    return Optional.empty();
  }
}
