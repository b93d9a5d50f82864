package org.cowslipdale.testsupport.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.core.admission.Admission;
import org.cowslipdale.core.admission.SlotQueue;
import org.cowslipdale.core.admission.Ticket;
import org.cowslipdale.core.quota.TokenIssuer;
import org.cowslipdale.core.quota.TokenStock;
import org.cowslipdale.core.view.RateLimit;

/**
 * Simulates the requests of one customer to a fleet, and the messages between the VMs and the
 * issuer of the customer's tokens. The round trip between a VM and the issuer takes 2 to 60 ms.
 */
final class TokenTraffic {

  /**
   * The rate limit of the customer in the users' largest sheet, which sends {@link
   * #REQUESTS_PER_SECOND}.
   */
  static final RateLimit RATE_LIMIT = new RateLimit(26, 26);

  static final double REQUESTS_PER_SECOND = 16;

  private static final ObjectMapper CODEC = Codecs.compactMessagePack();
  private static final long START_MILLIS = 2_000;
  private static final long END_MILLIS = 62_000;
  private static final long MAX_WAIT_MILLIS = 300;

  /** The probability that a session moves to another VM, per millisecond. */
  private static final double MOVES_PER_MILLI = 1 / 2_000.0;

  private static final String CUSTOMER = "customer";

  private final Random random;
  private final int[] vmOfSession;
  private final TokenIssuer issuer = new TokenIssuer(0);
  private final List<TokenStock<Integer>> stocks = new ArrayList<>();
  private final int[] oneWayMillis;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
  private final ReferenceBucket referenceBucket = new ReferenceBucket(RATE_LIMIT);
  private int requests;
  private int wrongRefusals;
  private int messages;
  private long bytes;

  private record Event(long atMillis, Runnable action) {}

  /**
   * The results of a simulation.
   *
   * @param refusedPercent the requests that were refused although rate and burst allowed them, in
   *     percent of all requests
   * @param messagesPerSecond the messages from VMs to the issuer
   * @param bytesPerSecond the size of these messages and of the answers, without framing
   */
  record Counts(double refusedPercent, double messagesPerSecond, double bytesPerSecond) {}

  private TokenTraffic(long seed, int vms, int sessions) {
    this.random = new Random(seed);
    this.oneWayMillis = random.ints(vms, 1, 31).toArray();
    this.vmOfSession = random.ints(sessions, 0, vms).toArray();
    for (int vm = 0; vm < vms; vm++) {
      stocks.add(new TokenStock<>());
    }
  }

  /**
   * Simulates one minute.
   *
   * @param vms the number of VMs
   * @param sessions the number of sessions; each moves to a random VM every two seconds on average
   */
  static Counts simulate(int vms, int sessions) {
    TokenTraffic traffic = new TokenTraffic(vms, vms, sessions);
    for (long now = START_MILLIS; now < END_MILLIS; now++) {
      traffic.step(now);
    }
    double seconds = (END_MILLIS - START_MILLIS) / 1_000.0;
    return new Counts(
        100.0 * traffic.wrongRefusals / traffic.requests,
        traffic.messages / seconds,
        traffic.bytes / seconds);
  }

  private void step(long now) {
    for (int session = 0; session < vmOfSession.length; session++) {
      if (random.nextDouble() < MOVES_PER_MILLI) {
        vmOfSession[session] = random.nextInt(stocks.size());
      }
    }
    if (random.nextDouble() < REQUESTS_PER_SECOND / 1_000) {
      sendRequest(vmOfSession[random.nextInt(vmOfSession.length)], now);
    }
    while (!events.isEmpty() && events.peek().atMillis() <= now) {
      events.remove().action().run();
    }
    for (int vm = 0; vm < stocks.size(); vm++) {
      countWrongExpiries(stocks.get(vm).advance(now));
      sendDemand(vm, now);
    }
  }

  private void sendRequest(int vm, long now) {
    requests++;
    int allowed = referenceBucket.tryConsume(now) ? 1 : 0;
    Ticket<Integer> ticket = new Ticket<>(CUSTOMER, now + MAX_WAIT_MILLIS, allowed);
    Admission admission =
        stocks.get(vm).offer(ticket, RATE_LIMIT.ratePerSecond(), RATE_LIMIT.burst(), now);
    wrongRefusals += admission == Admission.REFUSED ? allowed : 0;
  }

  private void sendDemand(int vm, long now) {
    stocks
        .get(vm)
        .poll(now)
        .ifPresent(
            message -> {
              messages++;
              bytes += encodedBytes(message.demand());
              long arrival = now + oneWayMillis[vm];
              events.add(new Event(arrival, () -> issueTokens(vm, message, arrival)));
            });
  }

  private void issueTokens(int vm, TokenStock.DemandMessage message, long now) {
    TokenIssuer.Grant grant = issuer.issue(CUSTOMER, RATE_LIMIT, "vm" + vm, message.demand(), now);
    bytes += encodedBytes(grant);
    long arrival = now + oneWayMillis[vm];
    events.add(
        new Event(
            arrival,
            () ->
                countWrongExpiries(
                    stocks.get(vm).applyGrant(grant, message.sentMillis(), arrival))));
  }

  private void countWrongExpiries(SlotQueue.Progress<Integer> progress) {
    wrongRefusals += progress.expired().stream().mapToInt(Ticket::payload).sum();
  }

  private static int encodedBytes(Object message) {
    try {
      return CODEC.writeValueAsBytes(message).length;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode a message", e);
    }
  }

  /** A single token bucket for the whole fleet; decides which requests the limit allows. */
  private static final class ReferenceBucket {

    private final RateLimit limit;
    private double tokens;
    private long refilledMillis;

    ReferenceBucket(RateLimit limit) {
      this.limit = limit;
      this.tokens = limit.burst();
      this.refilledMillis = START_MILLIS;
    }

    boolean tryConsume(long now) {
      double refill = (now - refilledMillis) * limit.ratePerSecond() / 1_000;
      tokens = Math.min((double) limit.burst(), tokens + refill);
      refilledMillis = now;
      if (tokens < 1) {
        return false;
      }
      tokens--;
      return true;
    }
  }
}
