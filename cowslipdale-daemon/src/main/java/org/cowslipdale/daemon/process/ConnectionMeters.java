package org.cowslipdale.daemon.process;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import org.cowslipdale.daemon.session.ConnectionUsage;
import org.cowslipdale.daemon.session.GatewayService;
import org.cowslipdale.daemon.session.RelayMetrics;
import org.cowslipdale.daemon.session.StatementWaits;
import org.cowslipdale.daemon.session.WaitMetrics;

/** Registers the metrics of connections to servers and of gateways. */
final class ConnectionMeters {

  private ConnectionMeters() {}

  static void register(MeterRegistry meters, ConnectionUsage usage) {
    FunctionCounter.builder("cowslipdale.server.connections.opened", usage, ConnectionUsage::opened)
        .description("Connections to servers that this VM opened")
        .register(meters);
    FunctionCounter.builder("cowslipdale.server.statements", usage, ConnectionUsage::statements)
        .description("Statements sent on this VM's connections, those of other VMs included")
        .register(meters);
    Gauge.builder(
            "cowslipdale.server.connections.per.statement",
            usage,
            ConnectionUsage::openedPerStatement)
        .description("New connections per statement since the start")
        .register(meters);
  }

  static void register(MeterRegistry meters, GatewayService service) {
    Gauge.builder("cowslipdale.gateway.handles", service, GatewayService::openCount)
        .description("Connections that this VM holds for other VMs")
        .register(meters);
  }

  static void register(MeterRegistry meters, WaitMetrics waits) {
    for (StatementWaits.Cause cause : StatementWaits.Cause.values()) {
      FunctionCounter.builder(
              "cowslipdale.statement.wait.seconds", waits, w -> w.millis(cause) / 1_000.0)
          .description("Time that statements waited before they were sent, by cause")
          .tag("cause", cause.name().toLowerCase(Locale.ROOT))
          .register(meters);
    }
  }

  static void register(MeterRegistry meters, RelayMetrics metrics) {
    for (RelayMetrics.Result result : RelayMetrics.Result.values()) {
      FunctionCounter.builder("cowslipdale.gateway.relayed", metrics, m -> m.count(result))
          .description("Statements of this VM that were sent to gateways, by result")
          .tag("result", result.name().toLowerCase(Locale.ROOT))
          .register(meters);
    }
  }
}
