package org.cowslipdale.core.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cowslipdale.core.admission.Admission;
import org.cowslipdale.core.admission.SlotQueue;
import org.cowslipdale.core.admission.Ticket;
import org.cowslipdale.core.view.RateLimit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that tokens limit the rate of a customer without refusing requests within it. */
class TokenTests {

  private static final int VMS = 6;

  /** Simulates VMs and one issuer with a network delay, and records when requests are admitted. */
  private static final class Simulation {

    private final Random random;
    private final RateLimit limit;
    private final List<TokenStock<Integer>> stocks = new ArrayList<>();
    private final List<Answer> answers = new ArrayList<>();
    private final List<Long> admitted = new ArrayList<>();
    private TokenIssuer issuer = new TokenIssuer(0);
    private int refused;

    private record Answer(
        long atMillis, int vm, TokenStock.DemandMessage message, TokenIssuer.Grant grant) {}

    Simulation(long seed, RateLimit limit) {
      this.random = new Random(seed);
      this.limit = limit;
      for (int vm = 0; vm < VMS; vm++) {
        stocks.add(new TokenStock<>());
      }
    }

    void request(int vm, long waitMillis, long now) {
      Ticket<Integer> ticket = new Ticket<>("acme", now + waitMillis, vm);
      Admission admission = stocks.get(vm).offer(ticket, limit.ratePerSecond(), limit.burst(), now);
      if (admission == Admission.DISPATCH) {
        admitted.add(now);
      } else if (admission == Admission.REFUSED) {
        refused++;
      }
    }

    void step(long now) {
      for (int vm = 0; vm < VMS; vm++) {
        record(stocks.get(vm).advance(now), now);
        Optional<TokenStock.DemandMessage> message = stocks.get(vm).poll(now);
        if (message.isPresent()) {
          TokenIssuer.Grant grant =
              issuer.issue("acme", limit, "vm" + vm, message.get().demand(), now + 10);
          answers.add(new Answer(now + 20 + random.nextInt(40), vm, message.get(), grant));
        }
      }
      List<Answer> due = new ArrayList<>(answers);
      due.removeIf(answer -> answer.atMillis() > now);
      answers.removeAll(due);
      for (Answer answer : due) {
        record(
            stocks.get(answer.vm()).applyGrant(answer.grant(), answer.message().sentMillis(), now),
            now);
      }
    }

    private void record(SlotQueue.Progress<Integer> progress, long now) {
      progress.dispatched().forEach(ticket -> admitted.add(now));
      refused += progress.expired().size();
    }

    /** Returns the largest excess of admitted requests over burst plus rate in any window. */
    double maxExcess() {
      double max = Double.NEGATIVE_INFINITY;
      for (int from = 0; from < admitted.size(); from += 7) {
        for (int to = from; to < admitted.size(); to += 7) {
          double allowed =
              limit.burst()
                  + (admitted.get(to) - admitted.get(from)) * limit.ratePerSecond() / 1_000;
          max = Math.max(max, to - from + 1 - allowed);
        }
      }
      return max;
    }
  }

  @ParameterizedTest
  @CsvSource({"1, 100, 100", "2, 100, 20", "3, 500, 100", "4, 50, 50", "5, 1000, 2000"})
  void admitsNoMoreThanRateAndBurstInAnyWindow(long seed, double rate, long burst) {
    Simulation simulation = new Simulation(seed, new RateLimit(rate, burst));
    Random random = new Random(seed);
    for (long now = 0; now < 10_000; now++) {
      if (now == 5_000) {
        simulation.issuer = new TokenIssuer(now);
      }
      boolean overloaded = (now / 1_000) % 2 == 0;
      double perMilli = rate / 1_000 * (overloaded ? 5 : 0.2);
      for (double due = perMilli; random.nextDouble() < due; due -= 1) {
        simulation.request(random.nextInt(VMS), 200, now);
      }
      simulation.step(now);
    }

    assertThat(simulation.maxExcess(), lessThanOrEqualTo(0.0));
    assertThat((double) simulation.admitted.size(), greaterThanOrEqualTo(rate * 4));
  }

  @ParameterizedTest
  @CsvSource({"1", "6"})
  void refusesNothingWithinRateOnAnyNumberOfVms(int vmsInUse) {
    Simulation simulation = new Simulation(7, new RateLimit(200, 200));
    Random random = new Random(8);
    int sent = 0;
    for (long now = 2_000; now < 22_000; now++) {
      if (random.nextDouble() < 0.19) {
        simulation.request(random.nextInt(vmsInUse), 2_000, now);
        sent++;
      }
      simulation.step(now);
    }
    for (long now = 22_000; now < 25_000; now++) {
      simulation.step(now);
    }

    assertThat(simulation.refused, is(0));
    assertThat(simulation.admitted.size(), is(sent));
  }

  /** The previous issuer may have issued tokens that accrue within the next 200 ms. */
  @Test
  void newIssuerIssuesOnlyTokensAccruedSincePreviousIssuerEnded() {
    TokenIssuer issuer = new TokenIssuer(1_000);
    RateLimit limit = new RateLimit(10, 1_000);

    TokenDemand demand = new TokenDemand(0, 0, 50, 50, 0);

    TokenIssuer.Grant first = issuer.issue("acme", limit, "vm1", demand, 1_200);
    TokenIssuer.Grant second = issuer.issue("acme", limit, "vm1", demand, 2_200);

    assertThat(first.needed() + first.prefetched(), is(0L));
    assertThat(second.needed() + second.prefetched(), is(10L));
  }

  @Test
  void unusedTokensCountAgainstBurst() {
    TokenIssuer issuer = new TokenIssuer(0);
    RateLimit limit = new RateLimit(100, 40);

    TokenIssuer.Grant stocked =
        issuer.issue("acme", limit, "vm1", new TokenDemand(0, 0, 0, 20, 0), 10_000);
    TokenIssuer.Grant used =
        issuer.issue("acme", limit, "vm2", new TokenDemand(0, 0, 40, 0, 0), 10_001);
    TokenIssuer.Grant inFlight =
        issuer.issue("acme", limit, "vm3", new TokenDemand(0, 0, 40, 0, 0), 10_300);
    TokenIssuer.Grant later =
        issuer.issue("acme", limit, "vm3", new TokenDemand(0, 0, 40, 0, 0), 15_000);

    assertThat(stocked.prefetched(), is(20L));
    assertThat(used.needed(), is(20L));
    assertThat(inFlight.needed(), is(0L));
    assertThat(later.needed(), is(20L));
  }

  @Test
  void prefetchIsLimitedToHalfOfBurst() {
    TokenIssuer issuer = new TokenIssuer(0);
    RateLimit limit = new RateLimit(100, 40);

    TokenIssuer.Grant first =
        issuer.issue("acme", limit, "vm1", new TokenDemand(0, 0, 0, 15, 0), 10_000);
    TokenIssuer.Grant second =
        issuer.issue("acme", limit, "vm2", new TokenDemand(0, 0, 0, 15, 0), 10_000);

    assertThat(first.prefetched(), is(15L));
    assertThat(second.prefetched(), is(5L));
  }

  @Test
  void issuesTokensAccruedWithinMaxWait() {
    TokenIssuer issuer = new TokenIssuer(0);
    RateLimit limit = new RateLimit(10, 10);
    issuer.issue("acme", limit, "vm1", new TokenDemand(0, 0, 10, 0, 0), 10_000);

    TokenIssuer.Grant first =
        issuer.issue("acme", limit, "vm2", new TokenDemand(0, 0, 1, 0, 200), 10_001);
    TokenIssuer.Grant second =
        issuer.issue("acme", limit, "vm3", new TokenDemand(0, 0, 5, 0, 200), 10_001);

    assertThat(first, is(new TokenIssuer.Grant(1, 100, 0, 200)));
    assertThat(second.needed(), is(1L));
    assertThat(second.delayMillis(), is(200L));
  }

  @Test
  void reissuesReturnedTokens() {
    TokenIssuer issuer = new TokenIssuer(0);
    RateLimit limit = new RateLimit(1, 10);
    issuer.issue("acme", limit, "vm1", new TokenDemand(0, 0, 10, 0, 0), 20_000);

    TokenIssuer.Grant grant =
        issuer.issue("acme", limit, "vm1", new TokenDemand(0, 4, 10, 0, 0), 20_400);

    assertThat(grant.needed(), is(4L));
  }

  @Test
  void refusesRequestWhenIssuerHasNoTokenInTime() {
    TokenStock<Integer> stock = new TokenStock<>();
    stock.offer(new Ticket<>("acme", 300, 1), 10, 10, 0);
    stock.offer(new Ticket<>("acme", 300, 2), 10, 10, 0);
    TokenStock.DemandMessage message = stock.poll(0).orElseThrow();
    stock.offer(new Ticket<>("acme", 310, 3), 10, 10, 10);

    SlotQueue.Progress<Integer> progress =
        stock.applyGrant(new TokenIssuer.Grant(1, 150, 0, 250), message.sentMillis(), 40);

    assertThat(progress.dispatched().isEmpty(), is(true));
    assertThat(progress.expired().stream().map(Ticket::payload).toList(), is(List.of(2)));
    assertThat(stock.advance(189).dispatched().isEmpty(), is(true));
    assertThat(
        stock.advance(190).dispatched().stream().map(Ticket::payload).toList(), is(List.of(1)));
  }

  @Test
  void returnsUnneededTokenToIssuer() {
    TokenStock<Integer> stock = new TokenStock<>();
    stock.offer(new Ticket<>("acme", 300, 1), 10, 10, 0);
    TokenStock.DemandMessage message = stock.poll(0).orElseThrow();
    stock.applyGrant(new TokenIssuer.Grant(1, 0, 0, 0), message.sentMillis(), 10);
    stock.returnToken(20);

    assertThat(stock.poll(200), is(Optional.empty()));
    assertThat(stock.poll(270).orElseThrow().demand(), is(new TokenDemand(0, 1, 0, 0, 0)));
    assertThat(stock.offer(new Ticket<>("acme", 600, 2), 10, 10, 280), is(Admission.QUEUED));
  }

  /**
   * The stocks of the VMs count against the burst. If they used up the burst, tokens that accrue in
   * the meantime would be lost, and requests within the rate would be refused.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.5, 0.7, 0.9})
  void refusesAlmostNothingWithinRateWhenVmsPrefetch(double load) {
    int vms = 6;
    RateLimit limit = new RateLimit(90, 90);
    TokenIssuer issuer = new TokenIssuer(0);
    List<TokenStock<String>> stocks = new ArrayList<>();
    for (int vm = 0; vm < vms; vm++) {
      stocks.add(new TokenStock<>());
    }
    Random random = new Random(7);
    long sent = 0;
    long refused = 0;
    for (long now = 0; now < 30_000; now++) {
      for (int vm = 0; vm < vms; vm++) {
        TokenStock<String> stock = stocks.get(vm);
        boolean arrives = random.nextDouble() < load * limit.ratePerSecond() / vms / 1_000;
        if (arrives) {
          sent += now > 3_000 ? 1 : 0;
          Ticket<String> ticket = new Ticket<>("acme", now + 200, "request");
          Admission admission = stock.offer(ticket, limit.ratePerSecond(), limit.burst(), now);
          refused += admission == Admission.REFUSED && now > 3_000 ? 1 : 0;
        }
        refused += now > 3_000 ? stock.advance(now).expired().size() : 0;
        Optional<TokenStock.DemandMessage> message = stock.poll(now);
        if (message.isPresent()) {
          TokenIssuer.Grant grant =
              issuer.issue("acme", limit, "vm" + vm, message.get().demand(), now);
          stock.applyGrant(grant, message.get().sentMillis(), now);
        }
      }
    }

    assertThat((double) refused / sent, lessThan(0.02));
  }

  @Test
  void boundsRetryDelayWhenRateIsLow() {
    TokenIssuer issuer = new TokenIssuer(0);

    TokenDemand demand = new TokenDemand(0, 0, 5, 5, 200);
    TokenIssuer.Grant grant = issuer.issue("acme", new RateLimit(0.001, 90), "vm1", demand, 100);

    assertThat(grant.needed() + grant.prefetched(), is(0L));
    assertThat(grant.retryMillis(), lessThan(251L));
  }

  /** Guards against requests that reach no server using up the rate of later requests. */
  @Test
  void nextRequestUsesReturnedToken() {
    TokenStock<Integer> stock = new TokenStock<>();
    stock.offer(new Ticket<>("acme", 1_000, 1), 10, 10, 0);
    TokenStock.DemandMessage message = stock.poll(0).orElseThrow();
    stock.applyGrant(new TokenIssuer.Grant(1, 0, 0, 0), message.sentMillis(), 10);
    stock.offer(new Ticket<>("acme", 1_000, 2), 10, 10, 20);

    assertThat(stock.returnToken(30).dispatched().size(), is(1));
  }

  @Test
  void returnedTokensDoNotAddUpToBurst() {
    TokenStock<Integer> stock = new TokenStock<>();
    stock.offer(new Ticket<>("acme", 1_000, 1), 10, 10, 0);
    TokenStock.DemandMessage message = stock.poll(0).orElseThrow();
    stock.applyGrant(new TokenIssuer.Grant(1, 0, 0, 0), message.sentMillis(), 10);
    for (int i = 0; i < 100; i++) {
      stock.returnToken(30);
    }
    int admitted = 0;
    for (int i = 0; i < 100; i++) {
      admitted += stock.tryTake(40) ? 1 : 0;
    }

    assertThat(admitted, lessThanOrEqualTo(1));
  }
}
