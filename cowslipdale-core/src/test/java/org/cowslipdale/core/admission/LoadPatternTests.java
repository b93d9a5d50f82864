package org.cowslipdale.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.cowslipdale.core.admission.SlotQueue.Decision;
import org.cowslipdale.core.admission.SlotQueue.Progress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Replays seeded loads at the queue of one server with 4 slots and compares the shares of requests
 * that meet their objective under the fair policy and by priority.
 */
class LoadPatternTests {

  private static final int SLOTS = 4;
  private static final int SERVICE_MILLIS = 6;
  private static final int MAX_QUEUED = 1_000;
  private static final int CUSTOMERS = 8;
  private static final int DURATION_MILLIS = 10_000;
  private static final long[] OBJECTIVE_MILLIS = {800, 1_200, 3_000};
  private static final long LIMIT_MILLIS = 8_000;
  private static final double REQUIRED_SHARE = 0.95;

  /** A load in shares of the server's capacity by priority, at its usual service time. */
  enum Pattern {
    /** A low class sends 2.3 times its usual load for 6 s while the leader is frozen. */
    LOW_BURST {
      @Override
      double load(int priority, int customer, long now) {
        return usual(priority) * (priority == 2 && now >= 1_000 && now < 7_000 ? 2.3 : 1);
      }
    },
    /**
     * Priority 0 sends 1.8 times its usual load; replicas lag, so all reads come to the primary.
     */
    HIGH_BURST_WITHOUT_REPLICAS {
      @Override
      double load(int priority, int customer, long now) {
        return priority == 0 ? 0.4 * 1.8 : 0.3;
      }
    },
    /** Callers of all priorities that waited for an outage return at once. */
    RETURN_AFTER_OUTAGE {
      @Override
      double load(int priority, int customer, long now) {
        return now < 200 ? 4 : usual(priority);
      }
    },
    /** The requests of one class take ten times as long as known. */
    EXPENSIVE_CLASS {
      @Override
      double load(int priority, int customer, long now) {
        return priority == 2 ? 0.1 : usual(priority);
      }

      @Override
      int serviceMillis(int priority, long now) {
        return priority == 2 ? 10 * SERVICE_MILLIS : SERVICE_MILLIS;
      }
    },
    /** The server is half as fast for 8 s, and the VM's information about it is from before. */
    STALE_INFORMATION {
      @Override
      double load(int priority, int customer, long now) {
        return usual(priority);
      }

      @Override
      int serviceMillis(int priority, long now) {
        return now >= 1_000 && now < 9_000 ? 2 * SERVICE_MILLIS : SERVICE_MILLIS;
      }
    };

    abstract double load(int priority, int customer, long now);

    int serviceMillis(int priority, long now) {
      return SERVICE_MILLIS;
    }

    private static double usual(int priority) {
      return priority == 2 ? 0.35 : 0.25;
    }
  }

  @FunctionalInterface
  private interface Load {
    double of(int priority, int customer, long now);
  }

  @FunctionalInterface
  private interface Service {
    int millis(int priority, long now);
  }

  private record Request(int customer, int priority, long arrivalMillis) {}

  private record Running(Ticket<Request> ticket, long startMillis, long endMillis) {}

  /** Requests that arrived early enough to meet their objective, and those that met it. */
  private static final class Totals {

    private final int[] due = new int[3];
    private final int[] inTime = new int[3];
    private final int[] customerDue = new int[CUSTOMERS];
    private final int[] customerInTime = new int[CUSTOMERS];

    void countDue(Request request) {
      if (request.arrivalMillis() < DURATION_MILLIS - OBJECTIVE_MILLIS[request.priority()]) {
        due[request.priority()]++;
        customerDue[request.customer()]++;
      }
    }

    void countEnd(Request request, long now) {
      long objective = OBJECTIVE_MILLIS[request.priority()];
      if (request.arrivalMillis() < DURATION_MILLIS - objective
          && now - request.arrivalMillis() <= objective) {
        inTime[request.priority()]++;
        customerInTime[request.customer()]++;
      }
    }

    double share(int priority) {
      return (double) inTime[priority] / due[priority];
    }
  }

  /** Guards against a highest class that misses its objective because of lower ones. */
  @ParameterizedTest
  @EnumSource
  void highestPriorityMeetsItsObjective(Pattern pattern) {
    Totals fair = replay(new QueuePolicy.Fair(), pattern::load, pattern::serviceMillis);
    Totals priority = replay(new QueuePolicy.Priority(), pattern::load, pattern::serviceMillis);
    String figures =
        "in time by priority %.3f %.3f %.3f, fair %.3f %.3f %.3f"
            .formatted(
                priority.share(0),
                priority.share(1),
                priority.share(2),
                fair.share(0),
                fair.share(1),
                fair.share(2));

    assertThat(figures, priority.share(0), greaterThanOrEqualTo(REQUIRED_SHARE));
    assertThat(figures, fair.share(0), lessThan(REQUIRED_SHARE));
  }

  /** Guards against a customer at 7 times its usual load that takes capacity from the others. */
  @Test
  void hotCustomerTakesNothingFromOthers() {
    Load hot = (priority, customer, now) -> priority == 1 ? (customer == 0 ? 5.6 : 0.8) : 0;
    Service usual = (priority, now) -> SERVICE_MILLIS;
    Totals priority = replay(new QueuePolicy.Priority(), hot, usual);
    Totals fair = replay(new QueuePolicy.Fair(), hot, usual);
    double lowestShare = 1;
    double lowestFairShare = 1;
    for (int i = 1; i < CUSTOMERS; i++) {
      lowestShare =
          Math.min(lowestShare, (double) priority.customerInTime[i] / priority.customerDue[i]);
      lowestFairShare =
          Math.min(lowestFairShare, (double) fair.customerInTime[i] / fair.customerDue[i]);
    }
    String figures = "lowest share %.3f, fair %.3f".formatted(lowestShare, lowestFairShare);

    assertThat(figures, lowestShare, greaterThanOrEqualTo(REQUIRED_SHARE));
    assertThat(figures, lowestFairShare, lessThan(REQUIRED_SHARE));
  }

  private static Totals replay(QueuePolicy policy, Load load, Service service) {
    Random random = new Random(5);
    Totals totals = new Totals();
    SlotQueue<Request> queue = new SlotQueue<>(policy, SLOTS, MAX_QUEUED);
    List<Running> running = new ArrayList<>();
    double perMilli = (double) SLOTS / SERVICE_MILLIS / CUSTOMERS;
    for (long now = 0; now < DURATION_MILLIS; now++) {
      List<Running> ended = new ArrayList<>();
      for (Running each : running) {
        if (each.endMillis() <= now) {
          ended.add(each);
        }
      }
      running.removeAll(ended);
      for (Running each : ended) {
        totals.countEnd(each.ticket().payload(), now);
        double used = (double) (now - each.startMillis());
        start(queue.release(each.ticket().profile(), used, now), running, service, now);
      }
      for (int customer = 0; customer < CUSTOMERS; customer++) {
        for (int priority = 0; priority < 3; priority++) {
          if (random.nextDouble() < perMilli * load.of(priority, customer, now)) {
            Request request = new Request(customer, priority, now);
            totals.countDue(request);
            RequestProfile profile =
                new RequestProfile(
                    "customer-" + customer,
                    priority,
                    now + OBJECTIVE_MILLIS[priority],
                    "class-" + priority);
            Ticket<Request> ticket = new Ticket<>(profile, now + LIMIT_MILLIS, request);
            Decision<Request> decision = queue.admit(ticket, now);
            if (decision.admission() == Admission.DISPATCH) {
              running.add(new Running(ticket, now, now + service.millis(priority, now)));
            }
          }
        }
      }
      start(queue.advance(now), running, service, now);
    }
    return totals;
  }

  private static void start(
      Progress<Request> progress, List<Running> running, Service service, long now) {
    for (Ticket<Request> ticket : progress.dispatched()) {
      long end = now + service.millis(ticket.payload().priority(), now);
      running.add(new Running(ticket, now, end));
    }
  }
}
