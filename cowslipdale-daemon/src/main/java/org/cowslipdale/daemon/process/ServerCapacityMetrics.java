package org.cowslipdale.daemon.process;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cowslipdale.core.backend.ServerCapacity;
import org.cowslipdale.core.backend.ServerCapacity.Estimate;

/**
 * Publishes the estimates for backend servers. The only label is the name of the server; {@link
 * ServerCapacity} bounds the number of servers.
 */
final class ServerCapacityMetrics {

  private final ServerCapacity capacity;
  private final MultiGauge limits;
  private final MultiGauge responseTimes;
  private final MultiGauge successRates;

  ServerCapacityMetrics(ServerCapacity capacity, MeterRegistry meters) {
    this.capacity = requireNonNull(capacity, "capacity");
    this.limits =
        MultiGauge.builder("cowslipdale.server.limit")
            .description("Statements of this VM that a server handles well at a time")
            .register(meters);
    this.responseTimes =
        MultiGauge.builder("cowslipdale.server.response.milliseconds")
            .description("Smoothed response time of a server for a typical statement")
            .register(meters);
    this.successRates =
        MultiGauge.builder("cowslipdale.server.success.rate")
            .description("Smoothed share of statements that a server did not fail")
            .register(meters);
  }

  /** Publishes the current estimates, and removes those of servers that are no longer known. */
  void update() {
    List<MultiGauge.Row<?>> limitRows = new ArrayList<>();
    List<MultiGauge.Row<?>> timeRows = new ArrayList<>();
    List<MultiGauge.Row<?>> rateRows = new ArrayList<>();
    for (Map.Entry<String, Estimate> entry : capacity.estimates().entrySet()) {
      Tags tags = Tags.of("server", entry.getKey());
      Estimate estimate = entry.getValue();
      limitRows.add(MultiGauge.Row.of(tags, estimate.limit()));
      timeRows.add(MultiGauge.Row.of(tags, capacity.responseMillis(estimate)));
      rateRows.add(MultiGauge.Row.of(tags, estimate.successRate()));
    }
    limits.register(limitRows, true);
    responseTimes.register(timeRows, true);
    successRates.register(rateRows, true);
  }
}
