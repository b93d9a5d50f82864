package org.cowslipdale.daemon.telemetry;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Counts and times callers' requests by HTTP status. */
public final class RequestMetrics {

  private final MeterRegistry meters;
  private final Map<Integer, Timer> timers = new ConcurrentHashMap<>();

  /**
   * Creates the metrics.
   *
   * @param meters where the meters are registered
   */
  public RequestMetrics(MeterRegistry meters) {
    this.meters = requireNonNull(meters, "meters");
  }

  /**
   * Records a request.
   *
   * @param status the HTTP status of the reply
   * @param nanos how long the request took, in nanoseconds
   */
  public void record(int status, long nanos) {
    timers.computeIfAbsent(status, this::registerTimer).record(nanos, TimeUnit.NANOSECONDS);
  }

  private Timer registerTimer(int status) {
    return Timer.builder("cowslipdale.requests")
        .description("Requests of callers by HTTP status")
        .tag("status", Integer.toString(status))
        .serviceLevelObjectives(
            Duration.ofMillis(1),
            Duration.ofMillis(5),
            Duration.ofMillis(20),
            Duration.ofMillis(100),
            Duration.ofMillis(500),
            Duration.ofSeconds(2))
        .register(meters);
  }
}
