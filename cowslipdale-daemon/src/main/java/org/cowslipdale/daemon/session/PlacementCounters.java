package org.cowslipdale.daemon.session;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.atomic.LongAdder;

/** Counts statements for which a rule on the choice of servers decided. Thread-safe. */
public final class PlacementCounters {

  private final LongAdder homeRegionRefusals = new LongAdder();

  void countHomeRegionRefusal() {
    homeRegionRefusals.increment();
  }

  /**
   * Registers the counters.
   *
   * @param meters the registry
   */
  public void register(MeterRegistry meters) {
    FunctionCounter.builder("cowslipdale.home.region.refusals", homeRegionRefusals, LongAdder::sum)
        .description("Statements refused because no suitable server is in their home regions")
        .register(meters);
  }
}
