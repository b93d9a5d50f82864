package org.cowslipdale.daemon.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Set;
import org.cowslipdale.core.backend.ServerCapacity;
import org.junit.jupiter.api.Test;

class ServerCapacityMetricsTests {

  /** Gauges of servers that are gone would let the number of labels grow without bound. */
  @Test
  void publishesKnownServersOnly() {
    SimpleMeterRegistry meters = new SimpleMeterRegistry();
    ServerCapacity capacity = new ServerCapacity();
    ServerCapacityMetrics metrics = new ServerCapacityMetrics(capacity, meters);
    capacity.rejected("bonds-1", 5, 1_000);
    metrics.update();

    assertThat(
        meters.get("cowslipdale.server.limit").tag("server", "bonds-1").gauge().value(), is(4.0));
    assertThat(
        meters.get("cowslipdale.server.success.rate").tag("server", "bonds-1").gauge().value(),
        is(1.0));

    capacity.retain(Set.of());
    metrics.update();

    assertThat(meters.find("cowslipdale.server.limit").gauge(), is(nullValue()));
    assertThat(meters.find("cowslipdale.server.response.milliseconds").gauge(), is(nullValue()));
  }
}
