package org.cowslipdale.daemon.session;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.cowslipdale.daemon.session.StatementWaits.Cause;

/** Sums the waits of statements before they were sent, by cause. This class is thread-safe. */
public final class WaitMetrics {

  private final Map<Cause, LongAdder> millis;

  /** Creates sums that are 0. */
  public WaitMetrics() {
    Map<Cause, LongAdder> adders = new EnumMap<>(Cause.class);
    for (Cause cause : Cause.values()) {
      adders.put(cause, new LongAdder());
    }
    millis = Map.copyOf(adders);
  }

  void add(StatementWaits waits) {
    millis.forEach((cause, sum) -> sum.add(waits.millis(cause)));
  }

  /**
   * Returns the time that statements spent on a cause, in milliseconds.
   *
   * @param cause what the statements waited for
   */
  public long millis(Cause cause) {
    LongAdder sum = millis.get(cause);
    return sum == null ? 0 : sum.sum();
  }
}
