package org.cowslipdale.core.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cowslipdale.core.admission.Admission;
import org.cowslipdale.core.admission.SlotQueue.Progress;
import org.cowslipdale.core.admission.Ticket;

/**
 * The tokens of one customer on one VM, and the requests that wait for some.
 *
 * <p>The stock asks for tokens when requests wait. Where the customer sends several requests within
 * {@link #PREFETCH_MILLIS}, it also keeps tokens for that time, so that in steady state no request
 * waits. Tokens that are not needed go back to their owner. This class is safe for use by several
 * threads.
 *
 * @param <T> what the owner of the stock needs to continue a request
 */
public final class TokenStock<T> {

  /** For how long the stock should last at the present demand, in milliseconds: ten round trips. */
  private static final long PREFETCH_MILLIS = 600;

  /** The time over which demand is averaged, in milliseconds. */
  private static final double DEMAND_AVERAGING_MILLIS = 1_000;

  /** How long tokens that are not needed are kept, in milliseconds: callers repeat within it. */
  private static final long SPARE_RETENTION_MILLIS = 250;

  /** The part of a request's wait that the round trip to the owner may take, in milliseconds. */
  private static final long ROUND_TRIP_ALLOWANCE_MILLIS = 100;

  private final Deque<Ticket<T>> waiting = new ArrayDeque<>();
  private final Deque<Ticket<T>> requested = new ArrayDeque<>();
  private final Deque<Delayed<T>> delayed = new ArrayDeque<>();
  private long tokens;
  private long expiresMillis;
  private long spare;
  private long spareSinceMillis;
  private boolean demandPending;
  private long demandSentMillis;
  private long nextDemandMillis = Long.MIN_VALUE;
  private long nextPrefetchMillis = Long.MIN_VALUE;
  private double demandPerMilli;
  private long demandUpdatedMillis;

  /** A request whose token may be used from some time on. */
  private record Delayed<T>(Ticket<T> ticket, long usableFromMillis) {}

  /**
   * A message to the owner of the tokens.
   *
   * @param demand its content
   * @param sentMillis when it is sent, on the VM's monotonic clock
   */
  public record DemandMessage(TokenDemand demand, long sentMillis) {}

  /**
   * Takes a token or waits for one.
   *
   * @param ticket the request
   * @param ratePerSecond the customer's rate
   * @param burst the customer's burst
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Admission offer(
      Ticket<T> ticket, double ratePerSecond, long burst, long now) {
    demandPerMilli = demandPerMilli(now) + 1 / DEMAND_AVERAGING_MILLIS;
    demandUpdatedMillis = now;
    discardExpired(now);
    if (waiting.isEmpty() && tryTakeAny()) {
      return Admission.DISPATCH;
    }
    double hopefulTokens = burst + (ticket.deadlineMillis() - now) * ratePerSecond / 1_000;
    if (waiting.size() + requested.size() + delayed.size() + 1 > hopefulTokens) {
      return Admission.REFUSED;
    }
    waiting.add(ticket);
    return Admission.QUEUED;
  }

  /**
   * Takes a token if there is one, without waiting.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized boolean tryTake(long now) {
    discardExpired(now);
    if (tokens == 0) {
      return false;
    }
    tokens--;
    return true;
  }

  /**
   * Takes back a token whose request was not run. It serves another request or, if none comes soon,
   * goes back to its owner.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> returnToken(long now) {
    addSpare(1, now);
    return advance(now);
  }

  /**
   * Returns the message to send to the owner of the tokens, if one is due.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Optional<DemandMessage> poll(long now) {
    discardExpired(now);
    if (demandPending && now < demandSentMillis + TokenIssuer.ANSWER_TIMEOUT_MILLIS) {
      return Optional.empty();
    }
    abandonDemand();
    long target = (long) (demandPerMilli(now) * PREFETCH_MILLIS);
    boolean needs = !waiting.isEmpty() && now >= nextDemandMillis;
    boolean low = tokens * 2 < target && now >= Math.max(nextDemandMillis, nextPrefetchMillis);
    boolean returns = spare > 0 && now >= spareSinceMillis + SPARE_RETENTION_MILLIS;
    boolean surplus = tokens > target && now >= demandUpdatedMillis + SPARE_RETENTION_MILLIS;
    if (!needs && !low && !returns && !surplus) {
      return Optional.empty();
    }
    if (surplus) {
      addSpare(tokens - target, now);
      tokens = target;
    }
    return Optional.of(createMessage(needs, Math.max(0, target - tokens), now));
  }

  private DemandMessage createMessage(boolean needs, long ahead, long now) {
    long patience = 0;
    if (needs) {
      patience = Math.max(0, waiting.element().deadlineMillis() - now - ROUND_TRIP_ALLOWANCE_MILLIS);
      requested.addAll(waiting);
      waiting.clear();
    }
    TokenDemand demand = new TokenDemand(tokens, spare, requested.size(), ahead, patience);
    spare = 0;
    demandPending = true;
    demandSentMillis = now;
    return new DemandMessage(demand, now);
  }

  /**
   * Takes in an answer of the owner. Requests for which it has no token in time are among the
   * expired.
   *
   * @param grant the answer
   * @param sentMillis the send time of the message that is answered
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> applyGrant(TokenIssuer.Grant grant, long sentMillis, long now) {
    if (!isPendingDemand(sentMillis) || now >= sentMillis + TokenIssuer.ANSWER_TIMEOUT_MILLIS) {
      return advance(now);
    }
    demandPending = false;
    nextPrefetchMillis = now + grant.retryMillis();
    discardExpired(now);
    long expires = sentMillis + TokenIssuer.PREFETCH_LIFETIME_MILLIS;
    if (grant.prefetched() > 0) {
      expiresMillis = tokens == 0 ? expires : Math.min(expiresMillis, expires);
      tokens += grant.prefetched();
    }
    long left = grant.needed();
    while (left > 0 && !requested.isEmpty()) {
      delayed.add(new Delayed<>(requested.remove(), now + grant.delayMillis()));
      left--;
    }
    addSpare(left, now);
    List<Ticket<T>> refused = List.copyOf(requested);
    requested.clear();
    Progress<T> progress = advance(now);
    progress.expired().addAll(refused);
    return progress;
  }

  /**
   * Takes in that a message reached no owner.
   *
   * @param sentMillis the send time of the message
   * @param retryMillis when to send the next, in milliseconds
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized void recordNoAnswer(long sentMillis, long retryMillis, long now) {
    if (isPendingDemand(sentMillis)) {
      abandonDemand();
      nextDemandMillis = now + retryMillis;
    }
  }

  /**
   * Expires requests that waited too long and gives tokens to the others.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> advance(long now) {
    discardExpired(now);
    List<Ticket<T>> dispatched = new ArrayList<>();
    delayed.removeIf(promise -> promise.usableFromMillis() <= now && dispatched.add(promise.ticket()));
    List<Ticket<T>> expired = new ArrayList<>();
    requested.removeIf(ticket -> ticket.deadlineMillis() <= now && expired.add(ticket));
    waiting.removeIf(ticket -> ticket.deadlineMillis() <= now && expired.add(ticket));
    while (!(requested.isEmpty() && waiting.isEmpty()) && tryTakeAny()) {
      dispatched.add(requested.isEmpty() ? waiting.remove() : requested.remove());
    }
    return new Progress<>(dispatched, expired);
  }

  private boolean isPendingDemand(long sentMillis) {
    return demandPending && sentMillis == demandSentMillis;
  }

  private void abandonDemand() {
    demandPending = false;
    while (!requested.isEmpty()) {
      waiting.addFirst(requested.removeLast());
    }
  }

  private boolean tryTakeAny() {
    if (spare > 0) {
      spare--;
      return true;
    }
    if (tokens > 0) {
      tokens--;
      return true;
    }
    return false;
  }

  private void addSpare(long added, long now) {
    if (spare == 0) {
      spareSinceMillis = now;
    }
    spare += added;
  }

  private double demandPerMilli(long now) {
    return demandPerMilli * Math.exp((demandUpdatedMillis - now) / DEMAND_AVERAGING_MILLIS);
  }

  private void discardExpired(long now) {
    if (now >= expiresMillis) {
      tokens = 0;
    }
  }
}
