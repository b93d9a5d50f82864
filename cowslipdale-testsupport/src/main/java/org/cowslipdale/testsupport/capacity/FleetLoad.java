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
 * Plays the traffic of a fleet that grows while its databases and their load stay the same, and
 * prints what reaches the primaries, the connections of a server and the messages of VMs.
 */
final class FleetLoad {

  private static final List<Integer> SIZES = List.of(9, 30, 100, 300);
  private static final int DATABASES = 6;

  /** Operations of one database, per second. */
  private static final double OPERATIONS = 140;

  /** The share of operations that write or need the latest data. */
  private static final double AT_PRIMARY = 0.25;

  private static final long MAX_AGE_MILLIS = 1_250;
  private static final long RENEWAL_MILLIS = 500;
  private static final int LONGEST_DELAY_MILLIS = 35;
  private static final int RUN_MILLIS = 60;
  private static final int CONNECTION_LIMIT = 82;
  private static final int ASK_TIMEOUT_MILLIS = 400;
  private static final long START_MILLIS = 5_000;
  private static final long END_MILLIS = 25_000;
  private static final ObjectMapper CODEC = Codecs.compactMessagePack();

  private FleetLoad() {}

  /** Plays all sizes and prints a row for each figure. */
  static void print() {
    List<Map<String, Double>> results = new ArrayList<>();
    for (int size : SIZES) {
      Map<String, Double> result = new HashMap<>(new Positions(size).play());
      result.putAll(new Permits(size).play());
      results.add(result);
    }
    System.out.printf("%n%-52s", "fleet of VMs, databases and their load unchanged");
    SIZES.forEach(size -> System.out.printf(" %10d", size));
    System.out.println();
    for (String name : results.getFirst().keySet().stream().sorted().toList()) {
      System.out.printf("%-52s", name);
      results.forEach(result -> System.out.printf(" %10.1f", result.get(name)));
      System.out.println();
    }
  }

  private static double bytes(Object message) {
    try {
      return CODEC.writeValueAsBytes(message).length;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("messages can be encoded", e);
    }
  }

  private static double delay(Simulation simulation) {
    return 1 + simulation.random().nextInt(LONGEST_DELAY_MILLIS);
  }

  /** Reads that find no recent position go to the primary. */
  private static final class Positions {

    private final Simulation simulation = new Simulation();
    private final PositionCollector board = new PositionCollector(1);
    private final int size;
    private double reads;
    private double readsAtPrimary;
    private double bytes;

    Positions(int size) {
      this.size = size;
      for (int i = 0; i < size; i++) {
        FleetPositions positions = new FleetPositions();
        simulation.after(simulation.random().nextInt(500), () -> renew(positions));
        for (int database = 0; database < DATABASES; database++) {
          String name = "database-" + database;
          simulation.arrivals(1_000 * size / OPERATIONS, () -> operation(positions, name));
        }
      }
    }

    Map<String, Double> play() {
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

    private void renew(FleetPositions positions) {
      long asked = simulation.now();
      PositionReport report = positions.createReport(asked);
      bytes += bytes(report);
      simulation.after(
          delay(simulation),
          () -> {
            board.addReport(report);
            PositionUpdate news = board.createUpdate(simulation.now());
            bytes += bytes(news);
            simulation.after(
                delay(simulation),
                () -> {
                  positions.applyUpdate(news, asked, simulation.now());
                  simulation.after(RENEWAL_MILLIS, () -> renew(positions));
                });
          });
    }

    private void operation(FleetPositions positions, String database) {
      boolean read = simulation.random().nextDouble() >= AT_PRIMARY;
      boolean known =
          positions.historyOf(database).oldestSince(simulation.now() - MAX_AGE_MILLIS).isPresent();
      reads += read ? 1 : 0;
      if (read && known) {
        return;
      }
      readsAtPrimary += read ? 1 : 0;
      long sent = simulation.now();
      LogPosition position = new LogPosition(2, 1_000 + sent);
      simulation.after(
          delay(simulation),
          () -> positions.recordLocal(database, new PositionSample(2, position, sent)));
    }
  }

  /** All VMs use one server, which accepts fewer connections than a large fleet has VMs. */
  private static final class Permits {

    private static final String SERVER = "database-0-1";

    private final Simulation simulation = new Simulation();
    private final PermitIssuer owner = new PermitIssuer();
    private final Map<String, Vm> vms = new HashMap<>();
    private final Map<PermitDemand, Consumer<Boolean>> asks = new HashMap<>();
    private final int share;
    private int connections;
    private int mostConnections;
    private double messages;
    private double served;
    private double waited;

    private final class Vm {

      private final String name;
      private final HeldPermits permits;
      private int idle;

      Vm(String name) {
        this.name = name;
        this.permits = new HeldPermits(simulation.random().nextLong());
      }

      void renew() {
        PermitReport statement = permits.createReport("control");
        simulation.after(delay(simulation), () -> stated(statement));
        simulation.after(RENEWAL_MILLIS, this::renew);
      }

      private void stated(PermitReport statement) {
        owner.applyReport(name, statement, simulation.now());
        answer();
      }

      void operation(long since) {
        if (idle > 0) {
          idle--;
          run(since);
        } else if (permits.tryUse(SERVER, share)) {
          connections++;
          mostConnections = Math.max(mostConnections, connections);
          run(since);
        } else if (share > 0) {
          simulation.after(10, () -> operation(since));
        } else {
          ask(since);
        }
      }

      private void run(long since) {
        served++;
        waited += simulation.now() - since;
        simulation.after(RUN_MILLIS, () -> idle++);
      }

      private void ask(long since) {
        PermitDemand ask = permits.createDemand(SERVER, ConnectionShare.capacity(CONNECTION_LIMIT));
        asks.put(
            ask,
            lent -> {
              permits.settle(ask, lent);
              operation(since);
            });
        simulation.after(ASK_TIMEOUT_MILLIS, () -> settle(ask, false));
        messages += 2;
        simulation.after(delay(simulation), () -> asked(ask));
      }

      private void asked(PermitDemand ask) {
        owner.addDemand(name, ask, simulation.now());
        if (!answer().contains(ask)) {
          for (String other : owner.selectForRecall(SERVER, name, 2)) {
            messages += 2;
            simulation.after(delay(simulation), vms.get(other)::recalled);
          }
        }
      }

      void recalled() {
        connections -= idle;
        for (; idle > 0; idle--) {
          permits.recordClosed(SERVER);
        }
        permits.releaseUnused(SERVER);
        PermitReport statement = permits.createReport("control");
        simulation.after(delay(simulation), () -> stated(statement));
      }
    }

    Permits(int size) {
      share = ConnectionShare.of(CONNECTION_LIMIT, size);
      for (int i = 0; i < size; i++) {
        Vm vm = new Vm("vm" + i);
        vms.put(vm.name, vm);
        simulation.after(simulation.random().nextInt(500), vm::renew);
        simulation.arrivals(1_000 * size / OPERATIONS, () -> vm.operation(simulation.now()));
      }
    }

    Map<String, Double> play() {
      simulation.runUntil(START_MILLIS);
      messages = 0;
      served = 0;
      waited = 0;
      simulation.runUntil(END_MILLIS);
      double seconds = (END_MILLIS - START_MILLIS) / 1_000.0;
      return Map.of(
          "permits: most connections of a server, limit 82",
          (double) mostConnections,
          "permits: messages per server and second, all VMs",
          messages / seconds,
          "permits: mean wait of an operation, ms",
          waited / served);
    }

    private void settle(PermitDemand ask, boolean lent) {
      Consumer<Boolean> waiting = asks.remove(ask);
      if (waiting != null) {
        waiting.accept(lent);
      }
    }

    private List<PermitDemand> answer() {
      List<PermitIssuer.Answer> answers = owner.answerDemands(vms.keySet(), simulation.now());
      answers.forEach(
          answer -> simulation.after(delay(simulation), () -> settle(answer.demand(), answer.granted())));
      return answers.stream().map(PermitIssuer.Answer::demand).collect(Collectors.toList());
    }
  }
}
