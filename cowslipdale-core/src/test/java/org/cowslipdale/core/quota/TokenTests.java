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

class TokenTests {

  private static final int VMS = 6;

  /** Runs VMs against one owner with a network delay and returns when requests were admitted. */
  private static final class Simulation {

    private final Random random;
    private final RateLimit limit;
    private final List<TokenStock<Integer>> stocks = new ArrayList<>();
    private final List<Answer> answers = new ArrayList<>();
    private final List<Long> admitted = new ArrayList<>();
    private TokenIssuer issuer = new TokenIssuer(0);
    private int refused;

    private record Answer(long atMillis, int vm, TokenStock.DemandMessage message, TokenIssuer.Grant grant) {}

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
        Optional<TokenStock.DemandMessage> ask = stocks.get(vm).poll(now);
        if (ask.isPresent()) {
          TokenIssuer.Grant grant =
              issuer.issue("acme", limit, "vm" + vm, ask.get().demand(), now + 10);
          answers.add(new Answer(now + 20 + random.nextInt(40), vm, ask.get(), grant));
        }
      }
      List<Answer> due = new ArrayList<>(answers);
      due.removeIf(answer -> answer.atMillis() > now);
      answers.removeAll(due);
      for (Answer answer : due) {
        record(
            stocks.get(answer.vm()).applyGrant(answer.grant(), answer.message().sentMillis(), now), now);
      }
    }

    private void record(SlotQueue.Progress<Integer> progress, long now) {
      progress.dispatched().forEach(ticket -> admitted.add(now));
      refused += progress.expired().size();
    }

    /** Returns the largest excess over burst plus rate in any window. */
    double maxExcess() {
      double worst = Double.NEGATIVE_INFINITY;
      for (int from = 0; from < admitted.size(); from += 7) {
        for (int to = from; to < admitted.size(); to += 7) {
          double allowed =
              limit.burst()
                  + (admitted.get(to) - admitted.get(from)) * limit.ratePerSecond() / 1_000;
          worst = Math.max(worst, to - from + 1 - allowed);
        }
      }
      return worst;
    }
  }

  @ParameterizedTest
  @CsvSource({"1, 100, 100", "2, 100, 20", "3, 500, 100", "4, 50, 50", "5, 1000, 2000"})
  void admitsNoMoreThanRateAndBurstInAnyWindow(long seed, double rate, long burst) {
    Simulation play = new Simulation(seed, new RateLimit(rate, burst));
    Random random = new Random(seed);
    for (long now = 0; now < 10_000; now++) {
      if (now == 5_000) {
        play.issuer = new TokenIssuer(now);
      }
      boolean loud = (now / 1_000) % 2 == 0;
      double perMilli = rate / 1_000 * (loud ? 5 : 0.2);
      for (double due = perMilli; random.nextDouble() < due; due -= 1) {
        play.request(random.nextInt(VMS), 200, now);
      }
      play.step(now);
    }

    assertThat(play.maxExcess(), lessThanOrEqualTo(0.0));
    assertThat((double) play.admitted.size(), greaterThanOrEqualTo(rate * 4));
  }

  @ParameterizedTest
  @CsvSource({"1", "6"})
  void refusesNothingWithinRateOnAnyNumberOfVms(int vmsInUse) {
    Simulation play = new Simulation(7, new RateLimit(200, 200));
    Random random = new Random(8);
    int sent = 0;
    for (long now = 2_000; now < 22_000; now++) {
      if (random.nextDouble() < 0.19) {
        play.request(random.nextInt(vmsInUse), 2_000, now);
        sent++;
      }
      play.step(now);
    }
    for (long now = 22_000; now < 25_000; now++) {
      play.step(now);
    }

    assertThat(play.refused, is(0));
    assertThat(play.admitted.size(), is(sent));
  }

  /** The former owner may have issued tokens that it was to earn within the next 200 ms. */
  @Test
  void newIssuerIssuesOnlyTokensAccruedSincePreviousIssuerEnded() {
    TokenIssuer owner = new TokenIssuer(1_000);
    RateLimit limit = new RateLimit(10, 1_000);

    TokenDemand demand = new TokenDemand(0, 0, 50, 50, 0);

    TokenIssuer.Grant first = owner.issue("acme", limit, "vm1", demand, 1_200);
    TokenIssuer.Grant second = owner.issue("acme", limit, "vm1", demand, 2_200);

    assertThat(first.needed() + first.prefetched(), is(0L));
    assertThat(second.needed() + second.prefetched(), is(10L));
  }

  @Test
  void unusedTokensCountAgainstBurst() {
    TokenIssuer owner = new TokenIssuer(0);
    RateLimit limit = new RateLimit(100, 40);

    TokenIssuer.Grant stocked =
        owner.issue("acme", limit, "vm1", new TokenDemand(0, 0, 0, 20, 0), 10_000);
    TokenIssuer.Grant used =
        owner.issue("acme", limit, "vm2", new TokenDemand(0, 0, 40, 0, 0), 10_001);
    TokenIssuer.Grant underWay =
        owner.issue("acme", limit, "vm3", new TokenDemand(0, 0, 40, 0, 0), 10_300);
    TokenIssuer.Grant later =
        owner.issue("acme", limit, "vm3", new TokenDemand(0, 0, 40, 0, 0), 15_000);

    assertThat(stocked.prefetched(), is(20L));
    assertThat(used.needed(), is(20L));
    assertThat(underWay.needed(), is(0L));
    assertThat(later.needed(), is(20L));
  }

  @Test
  void prefetchIsLimitedToHalfOfBurst() {
    TokenIssuer owner = new TokenIssuer(0);
    RateLimit limit = new RateLimit(100, 40);

    TokenIssuer.Grant first =
        owner.issue("acme", limit, "vm1", new TokenDemand(0, 0, 0, 15, 0), 10_000);
    TokenIssuer.Grant second =
        owner.issue("acme", limit, "vm2", new TokenDemand(0, 0, 0, 15, 0), 10_000);

    assertThat(first.prefetched(), is(15L));
    assertThat(second.prefetched(), is(5L));
  }

  @Test
  void issuesTokensAccruedWithinMaxWait() {
    TokenIssuer owner = new TokenIssuer(0);
    RateLimit limit = new RateLimit(10, 10);
    owner.issue("acme", limit, "vm1", new TokenDemand(0, 0, 10, 0, 0), 10_000);

    TokenIssuer.Grant first =
        owner.issue("acme", limit, "vm2", new TokenDemand(0, 0, 1, 0, 200), 10_001);
    TokenIssuer.Grant second =
        owner.issue("acme", limit, "vm3", new TokenDemand(0, 0, 5, 0, 200), 10_001);

    assertThat(first, is(new TokenIssuer.Grant(1, 100, 0, 200)));
    assertThat(second.needed(), is(1L));
    assertThat(second.delayMillis(), is(200L));
  }

  @Test
  void reissuesReturnedTokens() {
    TokenIssuer owner = new TokenIssuer(0);
    RateLimit limit = new RateLimit(1, 10);
    owner.issue("acme", limit, "vm1", new TokenDemand(0, 0, 10, 0, 0), 20_000);

    TokenIssuer.Grant grant =
        owner.issue("acme", limit, "vm1", new TokenDemand(0, 4, 10, 0, 0), 20_400);

    assertThat(grant.needed(), is(4L));
  }

  @Test
  void refusesRequestWhenIssuerHasNoTokenInTime() {
    TokenStock<Integer> stock = new TokenStock<>();
    stock.offer(new Ticket<>("acme", 300, 1), 10, 10, 0);
    stock.offer(new Ticket<>("acme", 300, 2), 10, 10, 0);
    TokenStock.DemandMessage ask = stock.poll(0).orElseThrow();
    stock.offer(new Ticket<>("acme", 310, 3), 10, 10, 10);

    SlotQueue.Progress<Integer> progress =
        stock.applyGrant(new TokenIssuer.Grant(1, 150, 0, 250), ask.sentMillis(), 40);

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
    TokenStock.DemandMessage ask = stock.poll(0).orElseThrow();
    stock.applyGrant(new TokenIssuer.Grant(1, 0, 0, 0), ask.sentMillis(), 10);
    stock.returnToken(20);

    assertThat(stock.poll(200), is(Optional.empty()));
    assertThat(stock.poll(270).orElseThrow().demand(), is(new TokenDemand(0, 1, 0, 0, 0)));
    assertThat(stock.offer(new Ticket<>("acme", 600, 2), 10, 10, 280), is(Admission.QUEUED));
  }

  /**
   * The stocks of the VMs count against the burst. If they were large enough to use it up, what the
   * rate yields meanwhile would be lost, and customers refused inside their rate.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.5, 0.7, 0.9})
  void refusesAlmostNothingWithinRateWhenVmsPrefetch(double load) {
    int vms = 6;
    RateLimit limit = new RateLimit(90, 90);
    TokenIssuer owner = new TokenIssuer(0);
    List<TokenStock<String>> stocks = new ArrayList<>();
    for (int vm = 0; vm < vms; vm++) {
      stocks.add(new TokenStock<>());
    }
    Random random = new Random(7);
    long asked = 0;
    long refused = 0;
    for (long now = 0; now < 30_000; now++) {
      for (int vm = 0; vm < vms; vm++) {
        TokenStock<String> stock = stocks.get(vm);
        boolean arrives = random.nextDouble() < load * limit.ratePerSecond() / vms / 1_000;
        if (arrives) {
          asked += now > 3_000 ? 1 : 0;
          Ticket<String> ticket = new Ticket<>("acme", now + 200, "request");
          Admission admission = stock.offer(ticket, limit.ratePerSecond(), limit.burst(), now);
          refused += admission == Admission.REFUSED && now > 3_000 ? 1 : 0;
        }
        refused += now > 3_000 ? stock.advance(now).expired().size() : 0;
        Optional<TokenStock.DemandMessage> ask = stock.poll(now);
        if (ask.isPresent()) {
          TokenIssuer.Grant grant = owner.issue("acme", limit, "vm" + vm, ask.get().demand(), now);
          stock.applyGrant(grant, ask.get().sentMillis(), now);
        }
      }
    }

    assertThat((double) refused / asked, lessThan(0.02));
  }

  @Test
  void boundsRetryDelayWhenRateIsLow() {
    TokenIssuer owner = new TokenIssuer(0);

    TokenDemand demand = new TokenDemand(0, 0, 5, 5, 200);
    TokenIssuer.Grant grant = owner.issue("acme", new RateLimit(0.001, 90), "vm1", demand, 100);

    assertThat(grant.needed() + grant.prefetched(), is(0L));
    assertThat(grant.retryMillis(), lessThan(251L));
  }

  /** Without it, requests that met no server use up the rate of those that come after them. */
  @Test
  void nextRequestUsesReturnedToken() {
    TokenStock<Integer> stock = new TokenStock<>();
    stock.offer(new Ticket<>("acme", 1_000, 1), 10, 10, 0);
    TokenStock.DemandMessage ask = stock.poll(0).orElseThrow();
    stock.applyGrant(new TokenIssuer.Grant(1, 0, 0, 0), ask.sentMillis(), 10);
    stock.offer(new Ticket<>("acme", 1_000, 2), 10, 10, 20);

    assertThat(stock.returnToken(30).dispatched().size(), is(1));
  }

  @Test
  void returnedTokensDoNotAddUpToBurst() {
    TokenStock<Integer> stock = new TokenStock<>();
    stock.offer(new Ticket<>("acme", 1_000, 1), 10, 10, 0);
    TokenStock.DemandMessage ask = stock.poll(0).orElseThrow();
    stock.applyGrant(new TokenIssuer.Grant(1, 0, 0, 0), ask.sentMillis(), 10);
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
