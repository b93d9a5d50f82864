package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.cowslipdale.daemon.session.StatementWaits.Cause;

/** Sums the waits of statements before they were sent, by cause. This class is thread-safe. */
public final class WaitMetrics {

  private final Map<Cause, LongAdder> sums;

  /** Creates sums that are 0. */
  public WaitMetrics() {
    Map<Cause, LongAdder> adders = new EnumMap<>(Cause.class);
    for (Cause cause : Cause.values()) {
      adders.put(cause, new LongAdder());
    }
    sums = adders;
  }

  void add(StatementWaits waits) {
    waits.forEach((cause, waited) -> sumOf(cause).add(waited));
  }

  /**
   * Returns the time that statements spent on a cause, in milliseconds.
   *
   * @param cause what the statements waited for
   */
  public long millis(Cause cause) {
    return sumOf(cause).sum();
  }

  private LongAdder sumOf(Cause cause) {
    return requireNonNull(sums.get(cause), "sum");
  }
}
