package org.cowslipdale.testsupport.capacity;

import java.util.PriorityQueue;
import java.util.Random;

/**
 * A discrete-event simulation, which runs scheduled actions in the order of simulated time.
 *
 * <p>Times are in milliseconds. The random numbers have a fixed seed, so that runs are repeatable.
 * This class is confined to one thread.
 */
final class Simulation {

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Random random = new Random(1);
  private long nowMillis;
  private long nextSequence;

  /** An action to run at a time; events of the same time run in the order of their sequence. */
  private record Event(long atMillis, long sequence, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMillis, other.atMillis());
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence());
    }
  }

  long now() {
    return nowMillis;
  }

  Random random() {
    return random;
  }

  /** Schedules an action after a delay, rounded to milliseconds and at least 1 ms. */
  void schedule(double delayMillis, Runnable action) {
    events.add(new Event(nowMillis + Math.max(1, Math.round(delayMillis)), nextSequence++, action));
  }

  /** Runs an action repeatedly at exponentially distributed intervals, a Poisson process. */
  void scheduleArrivals(double meanMillis, Runnable action) {
    schedule(
        -meanMillis * Math.log(1 - random.nextDouble()),
        () -> {
          action.run();
          scheduleArrivals(meanMillis, action);
        });
  }

  /** Runs the events due by a time and advances the clock to it. */
  void runUntil(long untilMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
      Event event = events.remove();
      nowMillis = event.atMillis();
      event.action().run();
    }
    nowMillis = untilMillis;
  }
}
