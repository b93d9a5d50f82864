package org.cowslipdale.testsupport.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.function.IntFunction;
import java.util.function.ToDoubleFunction;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.claim.ClaimTable;
import org.cowslipdale.core.claim.RequestId;
import org.cowslipdale.core.control.LeaseTable;
import org.cowslipdale.core.failover.FailoverCoordinator;
import org.cowslipdale.core.failover.ProbeAssignment;
import org.cowslipdale.core.placement.Placement;
import org.cowslipdale.core.quota.TokenDemand;
import org.cowslipdale.core.quota.TokenIssuer;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.ApiKey;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Customer;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.DatabaseState.TermStart;
import org.cowslipdale.core.view.RateLimit;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.cowslipdale.testsupport.capacity.LinearFit.Point;

/**
 * Entry point of the capacity measurements.
 *
 * <p>Measures the size and the processing time of parts of the decision core's state at four sizes
 * each, and prints the values with a linear extrapolation to the full size. Then simulates fleets
 * of several sizes and prints their traffic.
 */
public final class CapacityMain {

  private static final ObjectMapper CODEC = Codecs.compactMessagePack();
  private static final long NOW_MILLIS = 1_000_000;
  private static final int VMS_AT_FULL_SIZE = 5_500;
  private static final int DATABASES_AT_FULL_SIZE = 8_200;
  private static final int SERVERS_PER_DATABASE = 3;
  private static final int FAILURE_DOMAINS = 5;
  private static final List<Integer> FLEET_SIZES = List.of(9, 30, 100, 300);

  private CapacityMain() {}

  /**
   * A measurement.
   *
   * @param name the name of the row
   * @param unit the unit of the cost
   * @param sizes the sizes to measure
   * @param fullSize the size to which the cost is extrapolated
   * @param build creates a state of a given size
   * @param cost measures a state
   */
  private record Measurement<T>(
      String name,
      String unit,
      List<Integer> sizes,
      int fullSize,
      IntFunction<T> build,
      ToDoubleFunction<T> cost) {}

  /**
   * Runs all measurements and simulations.
   *
   * @param args not used
   */
  public static void main(String[] args) {
    List<Integer> databases = List.of(1_000, 2_000, 4_000, 8_200);
    List<Integer> vms = List.of(700, 1_400, 2_800, 5_500);
    List<Integer> counts = List.of(10_000, 20_000, 40_000, 80_000);
    System.out.printf(
        "%-44s %-8s %10s %10s %10s %10s %12s %12s%n",
        "measurement", "unit", "size 1", "size 2", "size 3", "size 4", "per unit", "at full size");
    int full = DATABASES_AT_FULL_SIZE;
    measure(
        "view: message, per database",
        "bytes",
        databases,
        full,
        CapacityMain::viewWithDatabases,
        CapacityMain::encodedBytes);
    measure(
        "view: heap, per database",
        "bytes",
        databases,
        full,
        CapacityMain::viewWithDatabases,
        CapacityMain::heapBytes);
    measure(
        "view: message, per VM",
        "bytes",
        vms,
        VMS_AT_FULL_SIZE,
        CapacityMain::viewWithVms,
        CapacityMain::encodedBytes);
    measure(
        "view: message, per key",
        "bytes",
        counts,
        80_000,
        CapacityMain::viewWithKeys,
        CapacityMain::encodedBytes);
    measure(
        "view: heap, per key",
        "bytes",
        counts,
        80_000,
        CapacityMain::viewWithKeys,
        CapacityMain::heapBytes);
    measure(
        "view: apply the start of a term",
        "us",
        databases,
        full,
        CapacityMain::viewWithDatabases,
        CapacityMain::applyCommandMicros);
    measure(
        "placement: choose among VMs",
        "us",
        vms,
        VMS_AT_FULL_SIZE,
        CapacityMain::viewWithVms,
        CapacityMain::placementMicros);
    measure(
        "probes: choose VMs for a database, per VM",
        "us",
        vms,
        VMS_AT_FULL_SIZE,
        CapacityMain::viewWithVms,
        CapacityMain::assignmentMicros);
    measure(
        "leader: check version in force, per VM",
        "us",
        vms,
        VMS_AT_FULL_SIZE,
        CapacityMain::leaseState,
        CapacityMain::inForceMicros);
    measure(
        "leader: failover tick, per database",
        "us",
        databases,
        full,
        CapacityMain::failoverState,
        CapacityMain::failoverMicros);
    measure(
        "leader: issue tokens, per customer",
        "us",
        counts,
        80_000,
        CapacityMain::tokenIssuer,
        CapacityMain::issueMicros);
    measure(
        "announcements: heap, per database",
        "bytes",
        databases,
        full,
        CapacityMain::backendRegistry,
        CapacityMain::registryHeapBytes);
    measure(
        "claims: heap, per claim",
        "bytes",
        counts,
        80_000,
        CapacityMain::claimTable,
        CapacityMain::claimHeapBytes);
    printTokenTraffic();
    FleetLoad.print();
  }

  /**
   * Prints the messages that the tokens of one customer require, and the share of its requests that
   * is refused although the customer stays within its rate.
   */
  private static void printTokenTraffic() {
    System.out.printf(
        "%n%-44s %8s %10s %12s %10s%n",
        "tokens of a customer at %.0f/s of %.0f/s"
            .formatted(TokenTraffic.REQUESTS_PER_SECOND, TokenTraffic.RATE_LIMIT.ratePerSecond()),
        "VMs",
        "refused %",
        "messages/s",
        "bytes/s");
    for (int vms : FLEET_SIZES) {
      printTokenTraffic("three sessions", vms, 3);
      printTokenTraffic("four sessions per VM", vms, 4 * vms);
    }
  }

  private static void printTokenTraffic(String name, int vms, int sessions) {
    TokenTraffic.Counts counts = TokenTraffic.simulate(vms, sessions);
    System.out.printf(
        "%-44s %8d %10.2f %12.1f %10.0f%n",
        name, vms, counts.refusedPercent(), counts.messagesPerSecond(), counts.bytesPerSecond());
  }

  private static <T> void measure(
      String name,
      String unit,
      List<Integer> sizes,
      int fullSize,
      IntFunction<T> build,
      ToDoubleFunction<T> cost) {
    measureAndPrint(new Measurement<>(name, unit, sizes, fullSize, build, cost));
  }

  private static <T> void measureAndPrint(Measurement<T> measurement) {
    List<Point> points = new ArrayList<>();
    StringBuilder row = new StringBuilder();
    row.append("%-44s %-8s".formatted(measurement.name(), measurement.unit()));
    for (int size : measurement.sizes()) {
      T state = measurement.build().apply(size);
      double value = measurement.cost().applyAsDouble(state);
      points.add(new Point(size, value));
      row.append(" %10.0f".formatted(value));
    }
    LinearFit fit = LinearFit.leastSquares(points);
    row.append(" %12.4f %12.0f".formatted(fit.slope(), fit.valueAt(measurement.fullSize())));
    System.out.println(row);
  }

  private static View viewWithDatabases(int count) {
    Map<String, Database> declared = new HashMap<>();
    Map<String, DatabaseState> states = new HashMap<>();
    for (int i = 0; i < count; i++) {
      String name = "database-" + i;
      declared.put(name, new Database(name, SERVERS_PER_DATABASE));
      List<TermStart> starts = List.of(new TermStart(1, 0), new TermStart(2, 1_000L * i));
      states.put(name, new DatabaseState(2, name + "-1", starts));
    }
    Configuration configuration = new Configuration(Map.of(), Map.of(), Map.of(), declared);
    return new View(1, 1, configuration, Map.of(), states, tenVmRecords());
  }

  private static View viewWithVms(int count) {
    Map<String, VmRecord> records = new HashMap<>();
    for (int i = 0; i < count; i++) {
      String name = "vm" + i;
      records.put(name, vmRecord(name, i));
    }
    Configuration configuration =
        new Configuration(Map.of(), Map.of(), Map.of(), Map.of("bonds", new Database("bonds", 3)));
    return new View(1, 1, configuration, Map.of(), Map.of(), records);
  }

  private static View viewWithKeys(int count) {
    Map<String, ApiKey> keys = new HashMap<>();
    for (int i = 0; i < count; i++) {
      String id = "%012x".formatted(i);
      String digest = "%064x".formatted(i);
      keys.put(id, new ApiKey(id, "customer-" + i % 1_000, digest.substring(32), digest));
    }
    Customer customer = new Customer("customer-0", 1, 1, Set.of());
    Configuration configuration =
        new Configuration(Map.of(), Map.of("customer-0", customer), Map.of(), Map.of());
    return new View(1, 1, configuration, keys, Map.of(), Map.of());
  }

  private static Map<String, VmRecord> tenVmRecords() {
    Map<String, VmRecord> records = new HashMap<>();
    for (int i = 0; i < 10; i++) {
      records.put("vm" + i, vmRecord("vm" + i, i));
    }
    return records;
  }

  private static VmRecord vmRecord(String name, int number) {
    int domain = number % FAILURE_DOMAINS;
    return new VmRecord(
        name, "domain-" + domain, "region-" + domain % 2, "10.0.0.1:7000", 0, Long.MAX_VALUE, true);
  }

  private static double encodedBytes(View view) {
    try {
      return CODEC.writeValueAsBytes(view).length;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode a view", e);
    }
  }

  /** Returns the heap that a decoded copy retains, which shares no objects with the original. */
  private static double heapBytes(View view) {
    try {
      byte[] encoded = CODEC.writeValueAsBytes(view);
      return Measure.medianHeapBytes(
          () -> {
            try {
              return CODEC.readValue(encoded, View.class);
            } catch (IOException e) {
              throw new UncheckedIOException(e);
            }
          });
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode a view", e);
    }
  }

  private static double applyCommandMicros(View view) {
    return Measure.meanMicros(() -> view.apply(new ViewCommand.BeginTerm("database-0", 3)));
  }

  private static double placementMicros(View view) {
    List<VmRecord> active = view.activeVms();
    return Measure.meanMicros(() -> Placement.choose("key", active, 3));
  }

  private static double assignmentMicros(View view) {
    return Measure.meanMicros(() -> ProbeAssignment.probers(view, "bonds"));
  }

  private record LeaseState(View view, LeaseTable table) {}

  private static LeaseState leaseState(int count) {
    View view = viewWithVms(count);
    LeaseTable table = new LeaseTable(NOW_MILLIS);
    view.vms().keySet().forEach(name -> table.grant(name, 1, NOW_MILLIS, NOW_MILLIS));
    return new LeaseState(view, table);
  }

  private static double inForceMicros(LeaseState state) {
    return Measure.meanMicros(() -> state.table().waitingFor(1, state.view(), 0, NOW_MILLIS + 1));
  }

  private record FailoverState(
      View view, BackendRegistry registry, FailoverCoordinator coordinator) {}

  private static FailoverState failoverState(int count) {
    View view = viewWithDatabases(count);
    return new FailoverState(view, backendRegistry(count), new FailoverCoordinator());
  }

  private static double failoverMicros(FailoverState state) {
    Set<String> holders = new HashSet<>(state.view().vms().keySet());
    return Measure.meanMicros(
        () ->
            state
                .coordinator()
                .tick(state.view(), state.registry(), holders, version -> true, NOW_MILLIS));
  }

  private static TokenIssuer tokenIssuer(int count) {
    TokenIssuer issuer = new TokenIssuer(0);
    RateLimit limit = new RateLimit(100, 100);
    for (int i = 0; i < count; i++) {
      issuer.issue("customer-" + i, limit, "vm1", new TokenDemand(0, 0, 1, 0, 0), NOW_MILLIS);
    }
    return issuer;
  }

  private static double issueMicros(TokenIssuer issuer) {
    RateLimit limit = new RateLimit(1_000_000, 1_000_000);
    TokenDemand demand = new TokenDemand(0, 0, 0, 10, 0);
    return Measure.meanMicros(() -> issuer.issue("customer-7", limit, "vm2", demand, NOW_MILLIS));
  }

  private static BackendRegistry backendRegistry(int count) {
    BackendRegistry registry = new BackendRegistry();
    for (int i = 0; i < count; i++) {
      for (int server = 1; server <= SERVERS_PER_DATABASE; server++) {
        registry.addAnnouncement(announcement(i, server), 0, NOW_MILLIS);
      }
    }
    return registry;
  }

  private static Announcement announcement(int database, int server) {
    String name = "database-" + database;
    return new Announcement(
        name,
        name + "-" + server,
        "10.0.0." + server + ":9000",
        "domain-" + server,
        "region-" + server % 2,
        server == 1 ? ServerRole.PRIMARY : ServerRole.REPLICA,
        new LogPosition(2, 1_000_000),
        10,
        5,
        30,
        false,
        1,
        1);
  }

  private static double registryHeapBytes(BackendRegistry registry) {
    int count = registry.databases().size();
    return Measure.medianHeapBytes(() -> backendRegistry(count));
  }

  private static ClaimTable claimTable(int count) {
    ClaimTable table = new ClaimTable(0);
    for (int i = 0; i < count; i++) {
      String id = new UUID((NOW_MILLIS + i) << 16 | 0x7000L, Long.MIN_VALUE + i).toString();
      RequestId request = RequestId.parse(id).orElseThrow();
      String attempt = new UUID(i, i).toString();
      table.claim("customer-" + i % 100, request, attempt, NOW_MILLIS + count);
    }
    return table;
  }

  private static double claimHeapBytes(ClaimTable table) {
    int count = table.size();
    return Measure.medianHeapBytes(() -> claimTable(count));
  }
}
