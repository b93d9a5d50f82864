package org.cowslipdale.daemon.session;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts the statements that were sent to gateways, by result. This class is thread-safe. */
public final class RelayMetrics {

  /** What became of a request to a gateway. */
  public enum Result {
    /** The server replied to the statement. */
    RAN,
    /** The gateway had no slot, permit or connection in time. */
    REFUSED,
    /** The VM does not act as a gateway at present, or the handle was closed. */
    DECLINED,
    /** The connection of the gateway to the server failed. */
    BROKEN,
    /** The gateway did not answer. */
    UNANSWERED,
    /** The answer to a read was discarded because it took too long on its way. */
    DISCARDED
  }

  private final Map<Result, LongAdder> counts = new EnumMap<>(Result.class);

  /** Creates counters that are 0. */
  public RelayMetrics() {
    for (Result result : Result.values()) {
      counts.put(result, new LongAdder());
    }
  }

  void record(Result result) {
    adder(result).increment();
  }

  /**
   * Returns how many statements had a result.
   *
   * @param result the result
   */
  public long count(Result result) {
    return adder(result).sum();
  }

  private LongAdder adder(Result result) {
    return counts.computeIfAbsent(result, key -> new LongAdder());
  }
}
