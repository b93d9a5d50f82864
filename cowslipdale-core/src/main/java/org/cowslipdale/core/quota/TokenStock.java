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
 * The tokens of one customer on one VM, and the requests that wait for tokens.
 *
 * <p>The stock requests tokens from the {@link TokenIssuer} when requests wait. If the customer
 * sends several requests within {@link #PREFETCH_MILLIS}, the stock also prefetches tokens for that
 * time, so that no request waits in steady state. Tokens that are not needed are returned to the
 * issuer. This class is safe for use by several threads.
 *
 * @param <T> the payload with which the caller continues a request
 */
public final class TokenStock<T> {

  /** How long the stock should last at the current rate of requests: ten round trips. */
  private static final long PREFETCH_MILLIS = 600;

  /** Time constant of the moving average of the request rate. */
  private static final double DEMAND_AVERAGING_MILLIS = 1_000;

  /** How long tokens that are not needed are retained; callers retry within this time. */
  private static final long SPARE_RETENTION_MILLIS = 250;

  /** The part of a request's wait that the round trip to the issuer may take. */
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

  /** A request whose token becomes usable at a given time. */
  private record Delayed<T>(Ticket<T> ticket, long usableFromMillis) {}

  /**
   * A message to the token issuer.
   *
   * @param demand the demand
   * @param sentMillis when it is sent, on the VM's monotonic clock
   */
  public record DemandMessage(TokenDemand demand, long sentMillis) {}

  /**
   * Takes a token, or adds the request to those that wait for one.
   *
   * @param ticket the request
   * @param ratePerSecond the customer's rate
   * @param burst the customer's burst
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Admission offer(
      Ticket<T> ticket, double ratePerSecond, long burst, long now) {
    demandPerMilli = demandPerMilli(now) + 1 / DEMAND_AVERAGING_MILLIS;
    demandUpdatedMillis = now;
    discardExpired(now);
    if (waiting.isEmpty() && tryTakeAny()) {
      return Admission.DISPATCH;
    }
    double expectedTokens = burst + (ticket.deadlineMillis() - now) * ratePerSecond / 1_000;
    if (waiting.size() + requested.size() + delayed.size() + 1 > expectedTokens) {
      return Admission.REFUSED;
    }
    waiting.add(ticket);
    return Admission.QUEUED;
  }

  /**
   * Takes a token from the stock if one is available, without waiting.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   * @return whether a token was taken
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
   * Returns a token to this stock whose request was not run. Another request uses it, or it is
   * returned to the issuer if none does within {@link #SPARE_RETENTION_MILLIS}.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> returnToken(long now) {
    addSpare(1, now);
    return advance(now);
  }

  /**
   * Returns the message to send to the token issuer, if one is due.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Optional<DemandMessage> poll(long now) {
    discardExpired(now);
    if (demandPending && now < demandSentMillis + TokenIssuer.ANSWER_TIMEOUT_MILLIS) {
      return Optional.empty();
    }
    abandonDemand();
    long target = (long) (demandPerMilli(now) * PREFETCH_MILLIS);
    boolean hasWaiting = !waiting.isEmpty() && now >= nextDemandMillis;
    boolean low = tokens * 2 < target && now >= Math.max(nextDemandMillis, nextPrefetchMillis);
    boolean returns = spare > 0 && now >= spareSinceMillis + SPARE_RETENTION_MILLIS;
    boolean surplus = tokens > target && now >= demandUpdatedMillis + SPARE_RETENTION_MILLIS;
    if (!hasWaiting && !low && !returns && !surplus) {
      return Optional.empty();
    }
    if (surplus) {
      addSpare(tokens - target, now);
      tokens = target;
    }
    return Optional.of(createMessage(hasWaiting, Math.max(0, target - tokens), now));
  }

  private DemandMessage createMessage(boolean hasWaiting, long prefetch, long now) {
    long maxWait = 0;
    if (hasWaiting) {
      maxWait = Math.max(0, waiting.element().deadlineMillis() - now - ROUND_TRIP_ALLOWANCE_MILLIS);
      requested.addAll(waiting);
      waiting.clear();
    }
    TokenDemand demand = new TokenDemand(tokens, spare, requested.size(), prefetch, maxWait);
    spare = 0;
    demandPending = true;
    demandSentMillis = now;
    return new DemandMessage(demand, now);
  }

  /**
   * Applies an answer of the issuer. Requests that cannot get a token in time are reported as
   * expired. An answer that is late or does not match the pending demand is ignored.
   *
   * @param grant the answer
   * @param sentMillis the send time of the message that was answered
   * @param now the current time on the VM's monotonic clock, in milliseconds
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
   * Records that no issuer answered a message.
   *
   * @param sentMillis the send time of the message
   * @param retryMillis how long to wait before the next message, in milliseconds
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized void recordNoAnswer(long sentMillis, long retryMillis, long now) {
    if (isPendingDemand(sentMillis)) {
      abandonDemand();
      nextDemandMillis = now + retryMillis;
    }
  }

  /**
   * Removes requests whose deadline has passed and assigns available tokens to the others.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> advance(long now) {
    discardExpired(now);
    List<Ticket<T>> dispatched = new ArrayList<>();
    delayed.removeIf(
        request -> request.usableFromMillis() <= now && dispatched.add(request.ticket()));
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
