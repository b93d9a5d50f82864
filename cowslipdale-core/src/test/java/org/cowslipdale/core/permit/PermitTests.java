package org.cowslipdale.core.permit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cowslipdale.core.control.LeaseTable;
import org.cowslipdale.core.control.LeaseTimings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that all VMs together never open more connections than a server accepts, in a simulated
 * fleet with network delays, restarts, partitions and changes of the control leader.
 */
class PermitTests {

  private static final String SERVER = "bonds-1";
  private static final int CONNECTION_LIMIT = 82;
  private static final int CAPACITY = ConnectionShare.capacity(CONNECTION_LIMIT);
  private static final long RETRY_MILLIS = 40;
  private static final long MAX_WAIT_MILLIS = 400;
  private static final long OPERATION_MILLIS = 60;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, Vm> vms = new TreeMap<>();
  private final Random random = new Random(3);
  private final Map<PermitDemand, Consumer<Boolean>> pendingDemands = new HashMap<>();
  private PermitIssuer issuer = new PermitIssuer();
  private String leader = "control-1";
  private LeaseTable leases = new LeaseTable(0);
  private long now;
  private long lastEvent;
  private boolean permitsAlwaysRequired;
  private int connections;
  private int maxConnections;
  private int requested;
  private int served;
  private long maxWait;

  private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {

    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atMillis, other.atMillis());
      return byTime != 0 ? byTime : Long.compare(order, other.order());
    }
  }

  private final class Vm {

    private final String name;
    private HeldPermits permits = new HeldPermits(random.nextLong());
    private int processNumber;
    private int idleConnections;
    private int busyConnections;
    private long leaseEnd = -LeaseTimings.KEY_GRACE_MILLIS;
    private int share;
    private boolean disconnected;
    private boolean stopped;

    Vm(String name) {
      this.name = name;
    }

    void renewLease() {
      if (!canServe()) {
        closeIdle();
        permits.releaseAllUnused();
      }
      long requested = now;
      PermitReport report =
          permits.hasPermitsForAllConnections() ? permits.createReport(leader) : null;
      sendToLeader(
          () -> {
            leases.grant(name, 0, requested, now);
            if (report == null) {
              issuer.discardReport(name);
            } else {
              issuer.applyReport(name, report, now);
              answerDemands();
            }
            int callerVms = countCallerVms();
            deliverFromLeader(
                () -> {
                  leaseEnd = requested + LeaseTimings.LEASE_MILLIS;
                  share =
                      permitsAlwaysRequired ? 0 : ConnectionShare.of(CONNECTION_LIMIT, callerVms);
                });
          });
      schedule(LeaseTimings.RENEWAL_INTERVAL_MILLIS, this::renewLease);
    }

    private boolean canServe() {
      return now < leaseEnd + LeaseTimings.KEY_GRACE_MILLIS;
    }

    void attemptOperation(long requestedMillis) {
      if (stopped) {
        return;
      }
      if (idleConnections > 0) {
        idleConnections--;
        startOperation(requestedMillis);
      } else if (canServe() && permits.tryUse(SERVER, share)) {
        connections++;
        maxConnections = Math.max(maxConnections, connections);
        startOperation(requestedMillis);
      } else if (canServe()) {
        requestPermit(requestedMillis);
      } else {
        schedule(RETRY_MILLIS, () -> attemptOperation(requestedMillis));
      }
    }

    private void requestPermit(long requestedMillis) {
      if (!permits.isPermitRequired(SERVER)) {
        schedule(RETRY_MILLIS, () -> attemptOperation(requestedMillis));
        return;
      }
      PermitDemand demand = permits.createDemand(SERVER, CAPACITY);
      HeldPermits requestingPermits = permits;
      int requestingProcess = processNumber;
      pendingDemands.put(
          demand,
          granted -> {
            requestingPermits.settle(demand, granted);
            if (requestingProcess == processNumber) {
              attemptOperation(requestedMillis);
            }
          });
      schedule(MAX_WAIT_MILLIS, () -> completeDemand(demand, false));
      sendToLeader(
          () -> {
            issuer.addDemand(name, demand, now);
            if (!answerDemands().contains(demand)) {
              issuer
                  .selectForRecall(SERVER, name, 2)
                  .forEach(other -> vms.get(other).deliverFromLeader(vms.get(other)::handleRecall));
            }
          });
    }

    private void startOperation(long requestedMillis) {
      busyConnections++;
      served++;
      maxWait = Math.max(maxWait, now - requestedMillis);
      int startProcess = processNumber;
      schedule(
          OPERATION_MILLIS,
          () -> {
            if (startProcess == processNumber) {
              busyConnections--;
              idleConnections++;
            }
          });
    }

    void handleRecall() {
      if (idleConnections > 0) {
        idleConnections--;
        close();
        permits.releaseUnused(SERVER);
        PermitReport report = permits.createReport(leader);
        sendToLeader(
            () -> {
              issuer.applyReport(name, report, now);
              answerDemands();
            });
      }
    }

    /** Stops the VM as planned, and starts it again after a time without a lease. */
    void stopAndRestart(long downMillis) {
      long sent = now;
      sendToLeader(() -> leases.release(name, sent, now));
      restart();
      stopped = true;
      disconnected = true;
      schedule(
          downMillis,
          () -> {
            stopped = false;
            disconnected = false;
          });
    }

    void restart() {
      connections -= idleConnections + busyConnections;
      idleConnections = 0;
      busyConnections = 0;
      processNumber++;
      leaseEnd = -LeaseTimings.KEY_GRACE_MILLIS;
      permits = new HeldPermits(random.nextLong());
    }

    private void closeIdle() {
      while (idleConnections > 0) {
        idleConnections--;
        close();
      }
    }

    private void close() {
      connections--;
      permits.recordClosed(SERVER);
    }

    private void sendToLeader(Runnable action) {
      String recipient = leader;
      if (!disconnected) {
        schedule(
            1 + random.nextInt(35),
            () -> {
              if (recipient.equals(leader)) {
                action.run();
              }
            });
      }
    }

    private void deliverFromLeader(Runnable action) {
      if (!disconnected) {
        schedule(1 + random.nextInt(35), action);
      }
    }
  }

  private Set<PermitDemand> answerDemands() {
    Set<PermitDemand> granted = new HashSet<>();
    for (PermitIssuer.Answer answer : issuer.answerDemands(possibleHolders(), now)) {
      vms.get(answer.vm())
          .deliverFromLeader(() -> completeDemand(answer.demand(), answer.granted()));
      if (answer.granted()) {
        granted.add(answer.demand());
      }
    }
    return granted;
  }

  private void completeDemand(PermitDemand demand, boolean granted) {
    Consumer<Boolean> callback = pendingDemands.remove(demand);
    if (callback != null) {
      callback.accept(granted);
    }
  }

  private Set<String> possibleHolders() {
    return vms.keySet().stream()
        .filter(vm -> leases.mayHoldPermits(vm, now))
        .collect(Collectors.toSet());
  }

  private int countCallerVms() {
    return (int)
        vms.keySet().stream().filter(vm -> leases.sharesServerConnections(vm, now)).count();
  }

  @ParameterizedTest
  @CsvSource({"9, 5", "87, 1", "300, 1"})
  void servesAllOperationsWithinCapacity(int count, int operationsPerSecond) {
    permitsAlwaysRequired = true;
    startVms(count, 1_000 / operationsPerSecond);
    runUntil(5_000);
    served = 0;
    maxWait = 0;
    runUntil(20_000);

    assertThat(served, is(greaterThan(count * operationsPerSecond * 14)));
    assertThat(maxWait, is(lessThan(1_000L)));
    assertThat(maxConnections, is(lessThanOrEqualTo(CAPACITY)));
  }

  @ParameterizedTest
  @CsvSource({"9, true", "87, true", "300, true", "9, false", "87, false"})
  void staysWithinCapacityDuringRestartsPartitionsAndElections(
      int count, boolean alwaysRequirePermits) {
    permitsAlwaysRequired = alwaysRequirePermits;
    startVms(count, 700);
    for (int i = 0; i < 60; i++) {
      schedule(random.nextInt(60_000), this::injectFault);
    }
    for (int i = 1; i <= 6; i++) {
      int election = i;
      schedule(random.nextInt(60_000), () -> electLeader("control-" + election));
    }
    runUntil(60_000);

    assertThat(maxConnections, is(lessThanOrEqualTo(CAPACITY)));
  }

  /** Guards against operations without a connection while VMs are restarted one after another. */
  @ParameterizedTest
  @CsvSource({"87, 4, 1050", "87, 2, 700", "300, 8, 1050"})
  void servesAllOperationsDuringRollingRestarts(int count, int stoppedAtOnce, int gapMillis) {
    startVms(count, 1_000);
    List<Vm> all = new ArrayList<>(vms.values());
    for (int i = 0; i < count; i++) {
      Vm vm = all.get(i);
      schedule(5_000 + (long) i / stoppedAtOnce * gapMillis, () -> vm.stopAndRestart(2_500));
    }
    runUntil(5_000);
    requested = 0;
    served = 0;
    maxWait = 0;
    runUntil(20_000);

    assertThat(maxConnections, is(lessThanOrEqualTo(CAPACITY)));
    assertThat(maxWait, is(lessThan(1_000L)));
    assertThat(served, is(greaterThanOrEqualTo(requested * 19 / 20)));
  }

  /**
   * Guards against operations without a connection for as long as a new control leader does not
   * know which permits lost VMs held.
   */
  @ParameterizedTest
  @CsvSource({"87, 10", "87, 25", "300, 60"})
  void servesOperationsOfRemainingVmsAfterChangeOfLeader(int count, int lostVms) {
    startVms(count, 1_000);
    runUntil(5_000);
    List<Vm> lost = List.copyOf(vms.values()).subList(0, lostVms);
    lost.forEach(vm -> vm.stopAndRestart(Long.MAX_VALUE / 2));
    electLeader("control-2");
    runUntil(6_000);
    requested = 0;
    served = 0;
    maxWait = 0;
    runUntil(16_000);

    assertThat(maxConnections, is(lessThanOrEqualTo(CAPACITY)));
    assertThat(maxWait, is(lessThan(1_000L)));
    assertThat(served, is(greaterThanOrEqualTo(requested * 19 / 20)));
  }

  @ParameterizedTest
  @CsvSource({"82, 9", "82, 87", "82, 300", "218, 64", "38, 9"})
  void sharesOfAllVmsFitServerLimit(int limit, int count) {
    assertThat(ConnectionShare.of(limit, count) * count, is(lessThanOrEqualTo(limit)));
  }

  @Test
  void reportsConnectionsOpenedBeforePermitsWereRequired() {
    HeldPermits permits = new HeldPermits(1);
    assertThat(permits.tryUse(SERVER, 2), is(true));
    assertThat(permits.tryUse(SERVER, 1), is(false));
    assertThat(permits.hasPermitsForAllConnections(), is(false));
    assertThat(permits.tryUse(SERVER, 0), is(false));
    assertThat(permits.hasPermitsForAllConnections(), is(true));
    assertThat(permits.createReport("control-1").held(), is(Map.of(SERVER, 1)));

    permits.recordClosed(SERVER);
    assertThat("permits stay required", permits.tryUse(SERVER, 2), is(true));
    assertThat(permits.tryUse(SERVER, 2), is(false));
  }

  @Test
  void countsVmWithoutReportAtMaximum() {
    Set<String> vmNames = Set.of("vm1", "vm2");
    issuer.applyReport("vm1", new PermitReport(1, 0, Map.of()), 0);
    PermitDemand demand = new PermitDemand(1, 1, SERVER, PermitIssuer.MAX_PERMITS_PER_VM);
    assertThat(isGranted(demand, vmNames, 0), is(false));

    issuer.applyReport("vm2", new PermitReport(1, 0, Map.of()), 0);
    assertThat(isGranted(demand, vmNames, 0), is(true));
  }

  @Test
  void countsVmWithUncoveredConnectionsAtMaximum() {
    Set<String> vmNames = Set.of("vm1", "vm2");
    issuer.applyReport("vm1", new PermitReport(1, 0, Map.of()), 0);
    issuer.applyReport("vm2", new PermitReport(1, 0, Map.of()), 0);
    issuer.discardReport("vm2");

    PermitDemand demand = new PermitDemand(1, 1, SERVER, PermitIssuer.MAX_PERMITS_PER_VM);
    assertThat(isGranted(demand, vmNames, 0), is(false));
  }

  @Test
  void rejectsAbandonedDemandAndReclaimsLostGrant() {
    HeldPermits permits = new HeldPermits(9);
    issuer.applyReport("vm1", permits.createReport("control-1"), 0);
    PermitDemand first = permits.createDemand(SERVER, 1);
    assertThat(isGranted(first, Set.of("vm1"), 0), is(true));

    permits.settle(first, false);
    PermitDemand second = permits.createDemand(SERVER, 1);
    assertThat(isGranted(second, Set.of("vm1"), 0), is(false));
    permits.settle(second, false);
    issuer.applyReport("vm1", permits.createReport("control-1"), 0);
    assertThat("abandoned", isGranted(second, Set.of("vm1"), 0), is(false));
    assertThat(isGranted(permits.createDemand(SERVER, 1), Set.of("vm1"), 0), is(true));
  }

  @Test
  void countsConnectionsOfPreviousProcessUntilServersDropThem() {
    issuer.applyReport("vm1", new PermitReport(1, 0, Map.of(SERVER, 1)), 0);
    issuer.applyReport("vm1", new PermitReport(2, 0, Map.of()), 100);

    PermitDemand demand = new PermitDemand(2, 1, SERVER, 1);
    assertThat(isGranted(demand, Set.of("vm1"), 3_000), is(false));
    assertThat(isGranted(demand, Set.of("vm1"), 3_700), is(true));
  }

  private boolean isGranted(PermitDemand demand, Set<String> vmNames, long atMillis) {
    issuer.addDemand("vm1", demand, atMillis);
    boolean granted =
        issuer
            .answerDemands(vmNames, atMillis)
            .contains(new PermitIssuer.Answer("vm1", demand, true));
    issuer.answerDemands(vmNames, atMillis + PermitIssuer.MAX_WAIT_MILLIS);
    return granted;
  }

  private void injectFault() {
    List<Vm> all = new ArrayList<>(vms.values());
    Vm vm = all.get(random.nextInt(all.size()));
    if (random.nextBoolean()) {
      vm.restart();
    } else {
      vm.disconnected = true;
      schedule(1_000 + random.nextInt(25_000), () -> vm.disconnected = false);
    }
  }

  private void electLeader(String newLeader) {
    leader = newLeader;
    issuer = new PermitIssuer();
    leases = new LeaseTable(now);
  }

  private void startVms(int count, int pauseMillis) {
    for (int i = 0; i < count; i++) {
      Vm vm = new Vm("vm" + i);
      vms.put(vm.name, vm);
      schedule(random.nextInt(500), vm::renewLease);
      scheduleOperations(vm, pauseMillis);
    }
  }

  private void scheduleOperations(Vm vm, int pauseMillis) {
    schedule(
        pauseMillis / 2 + random.nextInt(pauseMillis),
        () -> {
          if (!vm.stopped) {
            requested++;
            vm.attemptOperation(now);
          }
          scheduleOperations(vm, pauseMillis);
        });
  }

  private void schedule(long millis, Runnable action) {
    events.add(new Event(now + millis, lastEvent++, action));
  }

  private void runUntil(long untilMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
      Event event = events.remove();
      now = event.atMillis();
      event.action().run();
    }
  }
}
