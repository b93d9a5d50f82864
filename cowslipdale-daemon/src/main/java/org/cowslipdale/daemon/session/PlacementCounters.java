package org.cowslipdale.daemon.session;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.atomic.LongAdder;
import org.cowslipdale.core.placement.ColdStartLimit;

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
   * @param coldStartLimit the limit that counts the statements to cold servers
   */
  public void register(MeterRegistry meters, ColdStartLimit coldStartLimit) {
    FunctionCounter.builder("cowslipdale.home.region.refusals", homeRegionRefusals, LongAdder::sum)
        .description("Statements refused because no suitable server is in their home regions")
        .register(meters);
    FunctionCounter.builder(
            "cowslipdale.cold.statements", coldStartLimit, ColdStartLimit::sentCount)
        .description("Statements sent to servers that are slow after their start")
        .register(meters);
    FunctionCounter.builder(
            "cowslipdale.cold.deferred", coldStartLimit, ColdStartLimit::deferredCount)
        .description("Sends put off because the share of a cold server was used up")
        .register(meters);
  }
}
