package org.cowslipdale.core.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.cowslipdale.core.admission.Admission;
import org.cowslipdale.core.admission.SlotQueue;
import org.cowslipdale.core.admission.Ticket;
import org.cowslipdale.core.view.RateLimit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** One customer whose sessions move about a large fleet. */
class RoamingCustomerTests {

  private static final String CUSTOMER = "acme";
  private static final int SESSIONS = 3;
  private static final long WAIT_MILLIS = 200;
  private static final long WINDOW_MILLIS = 5_000;

  /** VMs at 2 to 60 ms of the owner, there and back. */
  private static final class Fleet {

    private final Random random;
    private final RateLimit limit;
    private final int vms;
    private final TokenIssuer issuer = new TokenIssuer(0);
    private final List<TokenStock<Integer>> stocks = new ArrayList<>();
    private final List<Long> oneWayMillis = new ArrayList<>();
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
    private final List<Long> admitted = new ArrayList<>();
    private int sent;
    private int refused;

    private record Event(long atMillis, Runnable action) {}

    Fleet(long seed, RateLimit limit, int vms) {
      this.random = new Random(seed);
      this.limit = limit;
      this.vms = vms;
      for (int vm = 0; vm < vms; vm++) {
        stocks.add(new TokenStock<>());
        oneWayMillis.add(1L + random.nextInt(30));
      }
    }

    /** Sends at the given rate over sessions that move to another VM every two seconds or so. */
    void run(double requestsPerSecond, long fromMillis, long toMillis) {
      int[] places = random.ints(SESSIONS, 0, vms).toArray();
      for (long now = fromMillis; now < toMillis; now++) {
        if (random.nextDouble() < SESSIONS / 2_000.0) {
          places[random.nextInt(SESSIONS)] = random.nextInt(vms);
        }
        if (random.nextDouble() < requestsPerSecond / 1_000) {
          request(places[random.nextInt(SESSIONS)], now);
        }
        step(now);
      }
      for (long now = toMillis; now < toMillis + 2 * WAIT_MILLIS; now++) {
        step(now);
      }
    }

    private void request(int vm, long now) {
      sent++;
      Ticket<Integer> ticket = new Ticket<>(CUSTOMER, now + WAIT_MILLIS, vm);
      Admission admission = stocks.get(vm).offer(ticket, limit.ratePerSecond(), limit.burst(), now);
      switch (admission) {
        case DISPATCH -> admitted.add(now);
        case REFUSED -> refused++;
        case QUEUED -> {}
      }
    }

    private void step(long now) {
      while (!events.isEmpty() && events.peek().atMillis() <= now) {
        events.remove().action().run();
      }
      for (int vm = 0; vm < vms; vm++) {
        record(stocks.get(vm).advance(now), now);
        sendDemand(vm, now);
      }
    }

    private void sendDemand(int vm, long now) {
      Optional<TokenStock.DemandMessage> polled = stocks.get(vm).poll(now);
      if (polled.isEmpty()) {
        return;
      }
      TokenStock.DemandMessage ask = polled.get();
      long arrival = now + oneWayMillis.get(vm);
      long answered = arrival + oneWayMillis.get(vm);
      events.add(
          new Event(
              arrival,
              () -> {
                TokenIssuer.Grant grant =
                    issuer.issue(CUSTOMER, limit, "vm" + vm, ask.demand(), arrival);
                events.add(new Event(answered, () -> applyGrant(vm, ask, grant, answered)));
              }));
    }

    private void applyGrant(int vm, TokenStock.DemandMessage ask, TokenIssuer.Grant grant, long now) {
      record(stocks.get(vm).applyGrant(grant, ask.sentMillis(), now), now);
    }

    private void record(SlotQueue.Progress<Integer> progress, long now) {
      progress.dispatched().forEach(ticket -> admitted.add(now));
      refused += progress.expired().size();
    }

    int maxAdmittedInWindow() {
      int most = 0;
      int from = 0;
      for (int to = 0; to < admitted.size(); to++) {
        while (admitted.get(from) <= admitted.get(to) - WINDOW_MILLIS) {
          from++;
        }
        most = Math.max(most, to - from + 1);
      }
      return most;
    }

    double allowedInWindow() {
      return limit.ratePerSecond() * WINDOW_MILLIS / 1_000 + limit.burst();
    }
  }

  /** What VMs kept for later requests used up the burst of a customer that moves about. */
  @ParameterizedTest
  @CsvSource({"6, 26, 16", "30, 26, 16", "87, 26, 16", "87, 90, 56", "300, 26, 16"})
  void refusesNothingWithinRateWhenSessionsMoveBetweenVms(
      int vms, long rate, double requestsPerSecond) {
    Fleet fleet = new Fleet(5, new RateLimit(rate, rate), vms);

    fleet.run(requestsPerSecond, 2_000, 32_000);

    assertThat(fleet.refused, is(0));
    assertThat(fleet.admitted.size(), is(fleet.sent));
    assertThat((double) fleet.maxAdmittedInWindow(), lessThanOrEqualTo(fleet.allowedInWindow()));
  }

  @ParameterizedTest
  @CsvSource({"6, 26, 26", "87, 26, 26", "87, 90, 20", "300, 26, 26"})
  void admitsOnlyWhatRateAllowsUnderOverload(int vms, long rate, long burst) {
    Fleet fleet = new Fleet(6, new RateLimit(rate, burst), vms);

    fleet.run(rate * 4.0, 2_000, 32_000);

    assertThat((double) fleet.maxAdmittedInWindow(), lessThanOrEqualTo(fleet.allowedInWindow()));
    assertThat((double) fleet.admitted.size(), greaterThanOrEqualTo(rate * 30 * 0.95));
  }
}
