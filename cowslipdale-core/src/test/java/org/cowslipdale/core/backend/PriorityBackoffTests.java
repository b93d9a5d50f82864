package org.cowslipdale.core.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PriorityBackoffTests {

  private static final String SERVER = "bonds-1";
  private static final int SLOTS = 4;
  private static final int QUEUE_CAPACITY = 24;
  private static final int SERVICE_MILLIS = 6;
  private static final int OBJECTIVE_MILLIS = 800;

  private final Random random = new Random(7);
  private final PriorityBackoff backoff = new PriorityBackoff(random);

  private record Statement(int vm, int priority, long arrivalMillis) {}

  /** What became of the statements of a simulated overload. */
  private static final class Totals {

    private final int[] served = new int[3];
    private final long[] waitMillis = new long[3];
    private int rejections;

    /** Statements of priority 0 that arrived early enough to meet their objective in the test. */
    private int highDue;

    private int highInTime;

    double meanWaitMillis(int priority) {
      return (double) waitMillis[priority] / Math.max(1, served[priority]);
    }
  }

  /** Guards against a highest priority that waits out a back-off while slots become free. */
  @Test
  void highestPriorityBacksOffForAtMostOneResponseTime() {
    for (int i = 0; i < 50; i++) {
      backoff.served(SERVER, 0, 12, i);
    }
    long now = 1_000;
    for (int i = 0; i < 20; i++) {
      backoff.rejected(SERVER, 0, now);
      assertThat(backoff.endMillis(SERVER, 0) - now, is(lessThanOrEqualTo(12L)));
      now = backoff.endMillis(SERVER, 0);
    }
  }

  @Test
  void rejectionBacksLowerPrioritiesOffForLonger() {
    long now = 1_000;
    double[] sums = new double[4];
    for (int i = 0; i < 200; i++) {
      backoff.rejected(SERVER, 0, now);
      for (int priority = 0; priority < 4; priority++) {
        sums[priority] += backoff.endMillis(SERVER, priority) - now;
      }
      now += 3_000;
    }

    assertThat(sums[0], is(lessThan(sums[1])));
    assertThat(backoff.level(SERVER, 1, now), is(lessThan(8.1)));
  }

  /** A rejected low class says nothing against a higher one, which has to try by itself. */
  @Test
  void rejectionLeavesHigherPrioritiesAlone() {
    backoff.rejected(SERVER, 2, 1_000);

    assertThat(backoff.endMillis(SERVER, 1), is(Long.MIN_VALUE));
    assertThat(backoff.trySend(SERVER, 0, 1_000), is(true));
    assertThat(backoff.trySend(SERVER, 2, 1_000), is(false));
    assertThat(backoff.trySend(SERVER, 3, 1_000), is(false));
  }

  @Test
  void successOfLowerPriorityEndsBackoffOfHigherOnes() {
    backoff.rejected(SERVER, 1, 1_000);
    backoff.served(SERVER, 2, 6, 1_001);

    assertThat(backoff.trySend(SERVER, 1, 1_001), is(true));
  }

  /** Guards against all waiting statements of a VM that are sent when a back-off ends. */
  @Test
  void sendsOneStatementPerIntervalWhileLevelIsRaised() {
    for (int i = 0; i < 4; i++) {
      backoff.rejected(SERVER, 2, Math.max(1_000, backoff.endMillis(SERVER, 2)));
    }
    long end = backoff.endMillis(SERVER, 2);

    assertThat(backoff.trySend(SERVER, 2, end), is(true));
    assertThat(backoff.trySend(SERVER, 2, end), is(false));
    assertThat(backoff.trySend(SERVER, 2, backoff.endMillis(SERVER, 2)), is(true));
  }

  /** A priority without traffic must not stay backed off after the load has ended. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 3, 7, 20})
  void levelsFallWithoutTraffic(int priority) {
    long now = 1_000;
    for (int i = 0; i < 50; i++) {
      backoff.rejected(SERVER, priority, now);
      now = backoff.endMillis(SERVER, priority);
    }
    assertThat(backoff.level(SERVER, priority, now), is(greaterThan(2.0)));
    assertThat(backoff.isOverloaded(SERVER, now), is(true));

    long later = now + 9_000;
    assertThat(backoff.level(SERVER, priority, later), is(closeTo(0, 1e-9)));
    assertThat(backoff.trySend(SERVER, priority, later), is(true));
    assertThat(backoff.trySend(SERVER, priority, later), is(true));
    assertThat(backoff.isOverloaded(SERVER, later), is(false));
  }

  /**
   * Load: a lower class at 2.3 times its usual load for 6 s, with VMs that share no information.
   * Under the common back-off the highest class waits as long as the burst does.
   */
  @ParameterizedTest
  @ValueSource(ints = {8, 83})
  void lowPriorityBurstDoesNotDelayHighestPriority(int vms) {
    Totals common = simulate(vms, () -> new ServerBackoff(random), 0.4, 0.35 * 2.3);
    Totals byPriority = simulate(vms, () -> new PriorityBackoff(random), 0.4, 0.35 * 2.3);
    String figures =
        "priority 0: mean wait %.1f ms, common %.1f ms; in time %d of %d, common %d of %d; rejections %d, common %d"
            .formatted(
                byPriority.meanWaitMillis(0),
                common.meanWaitMillis(0),
                byPriority.highInTime,
                byPriority.highDue,
                common.highInTime,
                common.highDue,
                byPriority.rejections,
                common.rejections);

    assertThat(figures, byPriority.meanWaitMillis(0), is(lessThan(0.5 * common.meanWaitMillis(0))));
    assertThat(figures, byPriority.highInTime, is(greaterThan(byPriority.highDue * 95 / 100)));
    assertThat(figures, byPriority.highInTime, is(greaterThan(common.highInTime)));
  }

  /** Back-offs must not leave capacity unused while statements wait. */
  @Test
  void overloadUsesAtLeastNineTenthsOfCapacity() {
    Totals totals = simulate(83, () -> new PriorityBackoff(random), 0.4, 0.35 * 2.3);
    int capacity = 6_000 * SLOTS / SERVICE_MILLIS;

    int servedTotal = totals.served[0] + totals.served[2];
    assertThat(servedTotal, is(greaterThan(capacity * 9 / 10)));
  }

  /** Replays arrivals of 6 s at a server that rejects what exceeds its queue. */
  private Totals simulate(
      int vms, Supplier<BackoffPolicy> factory, double highShare, double lowShare) {
    Random arrivals = new Random(11);
    Totals totals = new Totals();
    List<BackoffPolicy> backoffs = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      backoffs.add(factory.get());
    }
    double perMilli = (double) SLOTS / SERVICE_MILLIS;
    PriorityQueue<Long> slotEnds = new PriorityQueue<>();
    List<Statement> waiting = new ArrayList<>();
    for (int now = 0; now < 6_000; now++) {
      for (int priority : new int[] {0, 2}) {
        double rate = perMilli * (priority == 0 ? highShare : lowShare);
        for (double left = rate; left > 0; left--) {
          if (arrivals.nextDouble() < Math.min(1, left)) {
            waiting.add(new Statement(arrivals.nextInt(vms), priority, now));
            totals.highDue += priority == 0 && now < 6_000 - OBJECTIVE_MILLIS ? 1 : 0;
          }
        }
      }
      while (!slotEnds.isEmpty() && slotEnds.peek() <= now) {
        slotEnds.remove();
      }
      List<Statement> remaining = new ArrayList<>();
      for (Statement statement : waiting) {
        BackoffPolicy own = backoffs.get(statement.vm());
        int priority = statement.priority();
        if (now < own.endMillis(SERVER, priority) || !own.trySend(SERVER, priority, now)) {
          remaining.add(statement);
        } else if (slotEnds.size() < SLOTS + QUEUE_CAPACITY) {
          long end = (long) now + SERVICE_MILLIS;
          if (slotEnds.size() >= SLOTS) {
            List<Long> ends = new ArrayList<>(slotEnds);
            ends.sort(null);
            end = ends.get(ends.size() - SLOTS) + SERVICE_MILLIS;
          }
          slotEnds.add(end);
          own.served(SERVER, priority, end - now, now);
          totals.served[priority]++;
          totals.waitMillis[priority] += end - statement.arrivalMillis();
          boolean inTime =
              end - statement.arrivalMillis() <= OBJECTIVE_MILLIS
                  && statement.arrivalMillis() < 6_000 - OBJECTIVE_MILLIS;
          totals.highInTime += priority == 0 && inTime ? 1 : 0;
        } else {
          own.rejected(SERVER, priority, now);
          totals.rejections++;
          remaining.add(statement);
        }
      }
      waiting = remaining;
    }
    return totals;
  }
}
