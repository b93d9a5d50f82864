package org.cowslipdale.testsupport.capacity;

import java.util.PriorityQueue;
import java.util.Random;

/** Runs events in the order of a simulated time, in milliseconds; for one thread. */
final class Simulation {

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Random random = new Random(1);
  private long nowMillis;
  private long scheduled;

  private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMillis, other.atMillis());
      return byTime != 0 ? byTime : Long.compare(order, other.order());
    }
  }

  long now() {
    return nowMillis;
  }

  Random random() {
    return random;
  }

  void after(double millis, Runnable action) {
    events.add(new Event(nowMillis + Math.max(1, Math.round(millis)), scheduled++, action));
  }

  /** Repeats an action at random intervals. */
  void arrivals(double meanMillis, Runnable action) {
    after(
        -meanMillis * Math.log(1 - random.nextDouble()),
        () -> {
          action.run();
          arrivals(meanMillis, action);
        });
  }

  void runUntil(long millis) {
    while (!events.isEmpty() && events.peek().atMillis() <= millis) {
      Event event = events.remove();
      nowMillis = event.atMillis();
      event.action().run();
    }
    nowMillis = millis;
  }
}
