package org.cowslipdale.core.permit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
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
import org.cowslipdale.core.control.LeaseTimings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the VMs together never open more connections than a server accepts. */
class PermitTests {

  private static final String SERVER = "bonds-1";
  private static final int CAPACITY = 80;
  private static final long RETRY_MILLIS = 40;
  private static final long PATIENCE_MILLIS = 400;
  private static final long RUN_MILLIS = 60;

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<String, Vm> vms = new TreeMap<>();
  private final Map<String, Long> leasedMillis = new HashMap<>();
  private final Random random = new Random(3);
  private final Map<PermitAsk, Consumer<Boolean>> asks = new HashMap<>();
  private PermitOwner owner = new PermitOwner();
  private String leader = "control-1";
  private long electedMillis;
  private long now;
  private long lastEvent;
  private int connections;
  private int mostConnections;
  private int served;
  private long longestWait;

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
    private int process;
    private int idle;
    private int running;
    private long leaseEnd = -LeaseTimings.KEY_GRACE_MILLIS;
    private boolean cutOff;

    Vm(String name) {
      this.name = name;
    }

    void renew() {
      if (!mayServe()) {
        closeIdle();
        permits.giveBackAll();
      }
      long asked = now;
      PermitStatement statement = permits.statement(leader);
      toLeader(
          () -> {
            leasedMillis.put(name, now);
            owner.stated(name, statement, now);
            answerAsks();
            fromLeader(() -> leaseEnd = asked + LeaseTimings.LEASE_MILLIS);
          });
      after(LeaseTimings.RENEWAL_INTERVAL_MILLIS, this::renew);
    }

    private boolean mayServe() {
      return now < leaseEnd + LeaseTimings.KEY_GRACE_MILLIS;
    }

    void operation(long since) {
      if (idle > 0) {
        idle--;
        run(since);
      } else if (mayServe() && permits.use(SERVER, 0)) {
        connections++;
        mostConnections = Math.max(mostConnections, connections);
        run(since);
      } else if (mayServe()) {
        askFor(since);
      } else {
        after(RETRY_MILLIS, () -> operation(since));
      }
    }

    private void askFor(long since) {
      PermitAsk ask = permits.ask(SERVER, CAPACITY);
      HeldPermits asking = permits;
      int asked = process;
      asks.put(
          ask,
          lent -> {
            asking.settle(ask, lent);
            if (asked == process) {
              operation(since);
            }
          });
      after(PATIENCE_MILLIS, () -> answer(ask, false));
      toLeader(
          () -> {
            owner.asked(name, ask, now);
            if (!answerAsks().contains(ask)) {
              owner
                  .recallFrom(SERVER, name, 2)
                  .forEach(other -> vms.get(other).fromLeader(vms.get(other)::recalled));
            }
          });
    }

    private void run(long since) {
      running++;
      served++;
      longestWait = Math.max(longestWait, now - since);
      int started = process;
      after(
          RUN_MILLIS,
          () -> {
            if (started == process) {
              running--;
              idle++;
            }
          });
    }

    void recalled() {
      if (idle > 0) {
        idle--;
        close();
        permits.giveBack(SERVER);
        PermitStatement statement = permits.statement(leader);
        toLeader(
            () -> {
              owner.stated(name, statement, now);
              answerAsks();
            });
      }
    }

    void restart() {
      connections -= idle + running;
      idle = 0;
      running = 0;
      process++;
      leaseEnd = -LeaseTimings.KEY_GRACE_MILLIS;
      permits = new HeldPermits(random.nextLong());
    }

    private void closeIdle() {
      while (idle > 0) {
        idle--;
        close();
      }
    }

    private void close() {
      connections--;
      permits.closed(SERVER);
    }

    private void toLeader(Runnable action) {
      String to = leader;
      if (!cutOff) {
        after(
            1 + random.nextInt(35),
            () -> {
              if (to.equals(leader)) {
                action.run();
              }
            });
      }
    }

    private void fromLeader(Runnable action) {
      if (!cutOff) {
        after(1 + random.nextInt(35), action);
      }
    }
  }

  private Set<PermitAsk> answerAsks() {
    Set<PermitAsk> lent = new HashSet<>();
    for (PermitOwner.Answer answer : owner.answers(users(), now)) {
      vms.get(answer.vm()).fromLeader(() -> answer(answer.ask(), answer.lent()));
      if (answer.lent()) {
        lent.add(answer.ask());
      }
    }
    return lent;
  }

  private void answer(PermitAsk ask, boolean lent) {
    Consumer<Boolean> asking = asks.remove(ask);
    if (asking != null) {
      asking.accept(lent);
    }
  }

  private Set<String> users() {
    return vms.keySet().stream()
        .filter(
            vm ->
                now
                    < leasedMillis.getOrDefault(vm, electedMillis)
                        + LeaseTimings.LEASE_BOUND_MILLIS
                        + LeaseTimings.KEY_GRACE_BOUND_MILLIS
                        + LeaseTimings.ORPHANED_CONNECTION_MILLIS)
        .collect(Collectors.toSet());
  }

  @ParameterizedTest
  @CsvSource({"9, 5", "87, 1", "300, 1"})
  void vmsServeAllOperationsWithinTheCapacity(int count, int operationsPerSecond) {
    start(count, 1_000 / operationsPerSecond);
    play(5_000);
    served = 0;
    longestWait = 0;
    play(20_000);

    assertThat(served, is(greaterThan(count * operationsPerSecond * 14)));
    assertThat(longestWait, is(lessThan(1_000L)));
    assertThat(mostConnections, is(lessThanOrEqualTo(CAPACITY)));
  }

  @ParameterizedTest
  @CsvSource({"9", "87", "300"})
  void theCapacityHoldsWhileVmsComeGoAndAreCutOff(int count) {
    start(count, 700);
    for (int i = 0; i < 60; i++) {
      after(random.nextInt(60_000), this::trouble);
    }
    for (int i = 1; i <= 6; i++) {
      int number = i;
      after(random.nextInt(60_000), () -> elect("control-" + number));
    }
    play(60_000);

    assertThat(mostConnections, is(lessThanOrEqualTo(CAPACITY)));
  }

  @ParameterizedTest
  @CsvSource({"82, 9", "82, 87", "82, 300", "218, 64", "38, 9"})
  void theSharesOfAllVmsFitTheLimitOfAServer(int limit, int count) {
    assertThat(ConnectionShare.of(limit, count) * count, is(lessThanOrEqualTo(limit)));
  }

  @Test
  void connectionsOpenedBeforePermitsWereNeededAreStated() {
    HeldPermits permits = new HeldPermits(1);
    assertThat(permits.use(SERVER, 2), is(true));
    assertThat(permits.use(SERVER, 1), is(false));
    assertThat(permits.coverAll(), is(false));
    assertThat(permits.use(SERVER, 0), is(false));
    assertThat(permits.coverAll(), is(true));
    assertThat(permits.statement("control-1").held(), is(Map.of(SERVER, 1)));

    permits.closed(SERVER);
    assertThat("permits are needed for good", permits.use(SERVER, 2), is(true));
    assertThat(permits.use(SERVER, 2), is(false));
  }

  @Test
  void aVmThatHasNotStatedWhatItHoldsCountsInFull() {
    Set<String> users = Set.of("vm1", "vm2");
    owner.stated("vm1", new PermitStatement(1, 0, Map.of()), 0);
    PermitAsk ask = new PermitAsk(1, 1, SERVER, PermitOwner.MOST_PER_VM);
    assertThat(lends(ask, users, 0), is(false));

    owner.stated("vm2", new PermitStatement(1, 0, Map.of()), 0);
    assertThat(lends(ask, users, 0), is(true));
  }

  @Test
  void aVmWithConnectionsOfItsShareCountsInFull() {
    Set<String> users = Set.of("vm1", "vm2");
    owner.stated("vm1", new PermitStatement(1, 0, Map.of()), 0);
    owner.stated("vm2", new PermitStatement(1, 0, Map.of()), 0);
    owner.notStated("vm2");

    PermitAsk ask = new PermitAsk(1, 1, SERVER, PermitOwner.MOST_PER_VM);
    assertThat(lends(ask, users, 0), is(false));
  }

  @Test
  void anAskThatTheVmGaveUpIsNotLentAndALostAnswerIsTakenBack() {
    HeldPermits permits = new HeldPermits(9);
    owner.stated("vm1", permits.statement("control-1"), 0);
    PermitAsk first = permits.ask(SERVER, 1);
    assertThat(lends(first, Set.of("vm1"), 0), is(true));

    permits.settle(first, false);
    PermitAsk second = permits.ask(SERVER, 1);
    assertThat(lends(second, Set.of("vm1"), 0), is(false));
    permits.settle(second, false);
    owner.stated("vm1", permits.statement("control-1"), 0);
    assertThat("given up", lends(second, Set.of("vm1"), 0), is(false));
    assertThat(lends(permits.ask(SERVER, 1), Set.of("vm1"), 0), is(true));
  }

  @Test
  void theConnectionsOfAFormerProcessCountUntilServersDropThem() {
    owner.stated("vm1", new PermitStatement(1, 0, Map.of(SERVER, 1)), 0);
    owner.stated("vm1", new PermitStatement(2, 0, Map.of()), 100);

    PermitAsk ask = new PermitAsk(2, 1, SERVER, 1);
    assertThat(lends(ask, Set.of("vm1"), 3_000), is(false));
    assertThat(lends(ask, Set.of("vm1"), 3_700), is(true));
  }

  private boolean lends(PermitAsk ask, Set<String> users, long atMillis) {
    owner.asked("vm1", ask, atMillis);
    boolean lent =
        owner.answers(users, atMillis).contains(new PermitOwner.Answer("vm1", ask, true));
    owner.answers(users, atMillis + PermitOwner.WAIT_MILLIS);
    return lent;
  }

  private void trouble() {
    List<Vm> all = new ArrayList<>(vms.values());
    Vm vm = all.get(random.nextInt(all.size()));
    if (random.nextBoolean()) {
      vm.restart();
    } else {
      vm.cutOff = true;
      after(1_000 + random.nextInt(25_000), () -> vm.cutOff = false);
    }
  }

  private void elect(String next) {
    leader = next;
    owner = new PermitOwner();
    leasedMillis.clear();
    electedMillis = now;
  }

  private void start(int count, int pauseMillis) {
    for (int i = 0; i < count; i++) {
      Vm vm = new Vm("vm" + i);
      vms.put(vm.name, vm);
      after(random.nextInt(500), vm::renew);
      operations(vm, pauseMillis);
    }
  }

  private void operations(Vm vm, int pauseMillis) {
    after(
        pauseMillis / 2 + random.nextInt(pauseMillis),
        () -> {
          vm.operation(now);
          operations(vm, pauseMillis);
        });
  }

  private void after(long millis, Runnable action) {
    events.add(new Event(now + millis, lastEvent++, action));
  }

  private void play(long untilMillis) {
    while (!events.isEmpty() && events.peek().atMillis() <= untilMillis) {
      Event event = events.remove();
      now = event.atMillis();
      event.action().run();
    }
  }
}
