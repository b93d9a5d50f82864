package org.cowslipdale.core.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/**
 * The recent positions that the primary of one database stated.
 *
 * <p>A read of a stated age asks for the oldest position that is still recent enough, because
 * replicas have applied it most probably. This class is safe for use by several threads.
 */
public final class PositionHistory {

  /** Closer samples add nothing to the choice, in milliseconds. */
  private static final long MIN_SPACING_MILLIS = 50;

  /** Longer than any age that routes state today, in milliseconds. */
  private static final long RETENTION_MILLIS = 10_000;

  private final Deque<PositionSample> samples = new ArrayDeque<>();

  /**
   * Adds a sample.
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
   * Returns the oldest sample that covers every commit acknowledged before a moment.
   *
   * @param sinceMillis the moment, on the VM's monotonic clock
   */
  public synchronized Optional<PositionSample> oldestSince(long sinceMillis) {
    for (Iterator<PositionSample> each = samples.iterator(); each.hasNext(); ) {
      PositionSample sample = each.next();
      if (sample.sentMillis() >= sinceMillis) {
        return Optional.of(sample);
      }
    }
    return Optional.empty();
  }
}
