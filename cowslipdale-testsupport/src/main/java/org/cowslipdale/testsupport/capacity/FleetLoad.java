package org.cowslipdale.testsupport.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.core.permit.ConnectionShare;
import org.cowslipdale.core.permit.HeldPermits;
import org.cowslipdale.core.permit.PermitDemand;
import org.cowslipdale.core.permit.PermitIssuer;
import org.cowslipdale.core.permit.PermitReport;
import org.cowslipdale.core.routing.FleetPositions;
import org.cowslipdale.core.routing.PositionCollector;
import org.cowslipdale.core.routing.PositionReport;
import org.cowslipdale.core.routing.PositionSample;
import org.cowslipdale.core.routing.PositionUpdate;
import org.cowslipdale.core.session.LogPosition;

/**
 * Simulates fleets of several sizes with the same databases and the same load, and prints the share
 * of reads that primaries serve, the connections to a server and the traffic of control messages.
 */
final class FleetLoad {

  private static final List<Integer> FLEET_SIZES = List.of(9, 30, 100, 300);
  private static final int DATABASES = 6;

  /** Operations on one database per second, from all VMs. */
  private static final double OPERATIONS_PER_SECOND = 140;

  /**
   * The fraction of operations that only the primary may serve: writes and reads of the latest
   * data.
   */
  private static final double PRIMARY_FRACTION = 0.25;

  private static final long MAX_AGE_MILLIS = 1_250;
  private static final long REPORT_INTERVAL_MILLIS = 500;
  private static final int MAX_DELAY_MILLIS = 35;
  private static final int OPERATION_MILLIS = 60;
  private static final int CONNECTION_LIMIT = 82;
  private static final int DEMAND_TIMEOUT_MILLIS = 400;
  private static final long START_MILLIS = 5_000;
  private static final long END_MILLIS = 25_000;
  private static final ObjectMapper CODEC = Codecs.compactMessagePack();

  private FleetLoad() {}

  /** Simulates all fleet sizes and prints one row for each figure. */
  static void print() {
    List<Map<String, Double>> results = new ArrayList<>();
    for (int size : FLEET_SIZES) {
      Map<String, Double> result = new HashMap<>(new PositionTraffic(size).simulate());
      result.putAll(new PermitTraffic(size).simulate());
      results.add(result);
    }
    System.out.printf("%n%-52s", "VMs in the fleet, same databases and same load");
    FLEET_SIZES.forEach(size -> System.out.printf(" %10d", size));
    System.out.println();
    for (String name : results.getFirst().keySet().stream().sorted().toList()) {
      System.out.printf("%-52s", name);
      results.forEach(result -> System.out.printf(" %10.1f", result.get(name)));
      System.out.println();
    }
  }

  private static double encodedBytes(Object message) {
    try {
      return CODEC.writeValueAsBytes(message).length;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode a message", e);
    }
  }

  private static double networkDelay(Simulation simulation) {
    return 1 + simulation.random().nextInt(MAX_DELAY_MILLIS);
  }

  /**
   * Simulates reads of bounded age and the exchange of log positions with the control leader. A VM
   * that knows no recent enough position of a database reads from the primary.
   */
  private static final class PositionTraffic {

    private final Simulation simulation = new Simulation();
    private final PositionCollector collector = new PositionCollector(1);
    private final int size;
    private double reads;
    private double readsAtPrimary;
    private double bytes;

    PositionTraffic(int size) {
      this.size = size;
      for (int i = 0; i < size; i++) {
        FleetPositions positions = new FleetPositions();
        simulation.schedule(simulation.random().nextInt(500), () -> exchangePositions(positions));
        for (int database = 0; database < DATABASES; database++) {
          String name = "database-" + database;
          simulation.scheduleArrivals(
              1_000 * size / OPERATIONS_PER_SECOND, () -> runOperation(positions, name));
        }
      }
    }

    Map<String, Double> simulate() {
      simulation.runUntil(START_MILLIS);
      reads = 0;
      readsAtPrimary = 0;
      bytes = 0;
      simulation.runUntil(END_MILLIS);
      double perVmAndSecond = size * (END_MILLIS - START_MILLIS) / 1_000.0;
      return Map.of(
          "positions: reads at the primary, percent",
          100 * readsAtPrimary / reads,
          "positions: bytes per VM and second, both ways",
          bytes / perVmAndSecond);
    }

    private void exchangePositions(FleetPositions positions) {
      long sent = simulation.now();
      PositionReport report = positions.createReport(sent);
      bytes += encodedBytes(report);
      simulation.schedule(
          networkDelay(simulation),
          () -> {
            collector.addReport(report);
            PositionUpdate update = collector.createUpdate(simulation.now());
            bytes += encodedBytes(update);
            simulation.schedule(
                networkDelay(simulation),
                () -> {
                  positions.applyUpdate(update, sent, simulation.now());
                  simulation.schedule(REPORT_INTERVAL_MILLIS, () -> exchangePositions(positions));
                });
          });
    }

    private void runOperation(FleetPositions positions, String database) {
      boolean read = simulation.random().nextDouble() >= PRIMARY_FRACTION;
      boolean known =
          positions.historyOf(database).oldestSince(simulation.now() - MAX_AGE_MILLIS).isPresent();
      reads += read ? 1 : 0;
      if (read && known) {
        return;
      }
      readsAtPrimary += read ? 1 : 0;
      long sent = simulation.now();
      LogPosition position = new LogPosition(2, 1_000 + sent);
      simulation.schedule(
          networkDelay(simulation),
          () -> positions.recordLocal(database, new PositionSample(2, position, sent)));
    }
  }

  /**
   * Simulates the permits for connections to one server that all VMs use. The server accepts fewer
   * connections than a large fleet has VMs.
   */
  private static final class PermitTraffic {

    private static final String SERVER = "database-0-1";

    private final Simulation simulation = new Simulation();
    private final PermitIssuer issuer = new PermitIssuer();
    private final Map<String, Vm> vms = new HashMap<>();
    private final Map<PermitDemand, Consumer<Boolean>> pendingDemands = new HashMap<>();
    private final int share;
    private int connections;
    private int maxConnections;
    private double messages;
    private double operations;
    private double totalWaitMillis;

    private final class Vm {

      private final String name;
      private final HeldPermits permits;
      private int idleConnections;

      Vm(String name) {
        this.name = name;
        this.permits = new HeldPermits(simulation.random().nextLong());
      }

      void sendReports() {
        PermitReport report = permits.createReport("control");
        simulation.schedule(networkDelay(simulation), () -> deliverReport(report));
        simulation.schedule(REPORT_INTERVAL_MILLIS, this::sendReports);
      }

      private void deliverReport(PermitReport report) {
        issuer.applyReport(name, report, simulation.now());
        answerDemands();
      }

      void startOperation(long arrivalMillis) {
        if (idleConnections > 0) {
          idleConnections--;
          runOperation(arrivalMillis);
        } else if (permits.tryUse(SERVER, share)) {
          connections++;
          maxConnections = Math.max(maxConnections, connections);
          runOperation(arrivalMillis);
        } else if (share > 0) {
          simulation.schedule(10, () -> startOperation(arrivalMillis));
        } else {
          requestPermit(arrivalMillis);
        }
      }

      private void runOperation(long arrivalMillis) {
        operations++;
        totalWaitMillis += simulation.now() - arrivalMillis;
        simulation.schedule(OPERATION_MILLIS, () -> idleConnections++);
      }

      private void requestPermit(long arrivalMillis) {
        PermitDemand demand =
            permits.createDemand(SERVER, ConnectionShare.capacity(CONNECTION_LIMIT));
        pendingDemands.put(
            demand,
            granted -> {
              permits.settle(demand, granted);
              startOperation(arrivalMillis);
            });
        simulation.schedule(DEMAND_TIMEOUT_MILLIS, () -> settle(demand, false));
        messages += 2;
        simulation.schedule(networkDelay(simulation), () -> deliverDemand(demand));
      }

      private void deliverDemand(PermitDemand demand) {
        issuer.addDemand(name, demand, simulation.now());
        if (!answerDemands().contains(demand)) {
          for (String other : issuer.selectForRecall(SERVER, name, 2)) {
            messages += 2;
            simulation.schedule(networkDelay(simulation), vms.get(other)::handleRecall);
          }
        }
      }

      void handleRecall() {
        connections -= idleConnections;
        for (; idleConnections > 0; idleConnections--) {
          permits.recordClosed(SERVER);
        }
        permits.releaseUnused(SERVER);
        PermitReport report = permits.createReport("control");
        simulation.schedule(networkDelay(simulation), () -> deliverReport(report));
      }
    }

    PermitTraffic(int size) {
      share = ConnectionShare.of(CONNECTION_LIMIT, size);
      for (int i = 0; i < size; i++) {
        Vm vm = new Vm("vm" + i);
        vms.put(vm.name, vm);
        simulation.schedule(simulation.random().nextInt(500), vm::sendReports);
        simulation.scheduleArrivals(
            1_000 * size / OPERATIONS_PER_SECOND, () -> vm.startOperation(simulation.now()));
      }
    }

    Map<String, Double> simulate() {
      simulation.runUntil(START_MILLIS);
      messages = 0;
      operations = 0;
      totalWaitMillis = 0;
      simulation.runUntil(END_MILLIS);
      double seconds = (END_MILLIS - START_MILLIS) / 1_000.0;
      return Map.of(
          "permits: most connections of a server, limit 82",
          (double) maxConnections,
          "permits: messages per server and second, all VMs",
          messages / seconds,
          "permits: mean wait of an operation, ms",
          totalWaitMillis / operations);
    }

    private void settle(PermitDemand demand, boolean granted) {
      Consumer<Boolean> waiting = pendingDemands.remove(demand);
      if (waiting != null) {
        waiting.accept(granted);
      }
    }

    private List<PermitDemand> answerDemands() {
      List<PermitIssuer.Answer> answers = issuer.answerDemands(vms.keySet(), simulation.now());
      answers.forEach(
          answer ->
              simulation.schedule(
                  networkDelay(simulation), () -> settle(answer.demand(), answer.granted())));
      return answers.stream().map(PermitIssuer.Answer::demand).collect(Collectors.toList());
    }
  }
}
