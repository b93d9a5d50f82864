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
 * Plays the requests of one customer over a fleet in simulated time, with VMs at 2 to 60 ms from
 * the owner of its tokens, there and back.
 */
final class TokenTraffic {

  /** The customer of the users' largest sheet: 16 requests a second against a rate of 26. */
  static final RateLimit LIMIT = new RateLimit(26, 26);

  static final double REQUESTS_PER_SECOND = 16;

  private static final ObjectMapper CODEC = Codecs.compactMessagePack();
  private static final long START_MILLIS = 2_000;
  private static final long END_MILLIS = 62_000;
  private static final long WAIT_MILLIS = 300;
  private static final double MOVES_PER_MILLI = 1 / 2_000.0;
  private static final String CUSTOMER = "customer";

  private final Random random;
  private final int[] sessions;
  private final TokenIssuer owner = new TokenIssuer(0);
  private final List<TokenStock<Integer>> stocks = new ArrayList<>();
  private final int[] oneWayMillis;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
  private final AllowedRequests allowed = new AllowedRequests(LIMIT);
  private int requests;
  private int wrongful;
  private int messages;
  private long bytes;

  private record Event(long atMillis, Runnable action) {}

  /**
   * What was counted.
   *
   * @param refusedPercent refused requests that rate and burst allowed, in percent of all
   * @param messagesPerSecond messages to the owner
   * @param bytesPerSecond the size of these messages and their answers, without framing
   */
  record Counts(double refusedPercent, double messagesPerSecond, double bytesPerSecond) {}

  private TokenTraffic(long seed, int vms, int sessions) {
    this.random = new Random(seed);
    this.oneWayMillis = random.ints(vms, 1, 31).toArray();
    this.sessions = random.ints(sessions, 0, vms).toArray();
    for (int vm = 0; vm < vms; vm++) {
      stocks.add(new TokenStock<>());
    }
  }

  /**
   * Plays a minute.
   *
   * @param vms the number of VMs
   * @param sessions the number of sessions, which move to another VM every two seconds or so
   */
  static Counts play(int vms, int sessions) {
    TokenTraffic traffic = new TokenTraffic(vms, vms, sessions);
    for (long now = START_MILLIS; now < END_MILLIS; now++) {
      traffic.step(now);
    }
    double seconds = (END_MILLIS - START_MILLIS) / 1_000.0;
    return new Counts(
        100.0 * traffic.wrongful / traffic.requests,
        traffic.messages / seconds,
        traffic.bytes / seconds);
  }

  private void step(long now) {
    for (int session = 0; session < sessions.length; session++) {
      if (random.nextDouble() < MOVES_PER_MILLI) {
        sessions[session] = random.nextInt(stocks.size());
      }
    }
    if (random.nextDouble() < REQUESTS_PER_SECOND / 1_000) {
      request(sessions[random.nextInt(sessions.length)], now);
    }
    while (!events.isEmpty() && events.peek().atMillis() <= now) {
      events.remove().action().run();
    }
    for (int vm = 0; vm < stocks.size(); vm++) {
      count(stocks.get(vm).advance(now));
      ask(vm, now);
    }
  }

  private void request(int vm, long now) {
    requests++;
    int isAllowed = allowed.admit(now) ? 1 : 0;
    Ticket<Integer> ticket = new Ticket<>(CUSTOMER, now + WAIT_MILLIS, isAllowed);
    Admission admission = stocks.get(vm).offer(ticket, LIMIT.ratePerSecond(), LIMIT.burst(), now);
    wrongful += admission == Admission.REFUSED ? isAllowed : 0;
  }

  private void ask(int vm, long now) {
    stocks
        .get(vm)
        .poll(now)
        .ifPresent(
            ask -> {
              messages++;
              bytes += size(ask.demand());
              long arrival = now + oneWayMillis[vm];
              events.add(new Event(arrival, () -> issue(vm, ask, arrival)));
            });
  }

  private void issue(int vm, TokenStock.DemandMessage ask, long now) {
    TokenIssuer.Grant grant = owner.issue(CUSTOMER, LIMIT, "vm" + vm, ask.demand(), now);
    bytes += size(grant);
    long answered = now + oneWayMillis[vm];
    events.add(
        new Event(
            answered, () -> count(stocks.get(vm).applyGrant(grant, ask.sentMillis(), answered))));
  }

  private void count(SlotQueue.Progress<Integer> progress) {
    wrongful += progress.expired().stream().mapToInt(Ticket::payload).sum();
  }

  private static int size(Object message) {
    try {
      return CODEC.writeValueAsBytes(message).length;
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("messages can be encoded", e);
    }
  }

  /** The token bucket that the whole fleet should amount to. */
  private static final class AllowedRequests {

    private final RateLimit limit;
    private double tokens;
    private long refilledMillis;

    AllowedRequests(RateLimit limit) {
      this.limit = limit;
      this.tokens = limit.burst();
      this.refilledMillis = START_MILLIS;
    }

    boolean admit(long now) {
      double earned = (now - refilledMillis) * limit.ratePerSecond() / 1_000;
      tokens = Math.min((double) limit.burst(), tokens + earned);
      refilledMillis = now;
      if (tokens < 1) {
        return false;
      }
      tokens--;
      return true;
    }
  }
}
