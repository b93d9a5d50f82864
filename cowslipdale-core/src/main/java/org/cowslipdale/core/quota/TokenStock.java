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
 * {@link #AHEAD_MILLIS}, it also keeps tokens for that time, so that in steady state no request
 * waits. Tokens that are not needed go back to their owner. This class is safe for use by several
 * threads.
 *
 * @param <T> what the owner of the stock needs to continue a request
 */
public final class TokenStock<T> {

  /** For how long the stock should last at the present demand, in milliseconds: ten round trips. */
  private static final long AHEAD_MILLIS = 600;

  /** The time over which demand is averaged, in milliseconds. */
  private static final double DEMAND_MILLIS = 1_000;

  /** How long tokens that are not needed are kept, in milliseconds: callers repeat within it. */
  private static final long SPARE_MILLIS = 250;

  /** The part of a request's wait that the round trip to the owner may take, in milliseconds. */
  private static final long ROUND_TRIP_MILLIS = 100;

  private final Deque<Ticket<T>> waiting = new ArrayDeque<>();
  private final Deque<Ticket<T>> asked = new ArrayDeque<>();
  private final Deque<Promised<T>> promised = new ArrayDeque<>();
  private long tokens;
  private long expiresMillis;
  private long spare;
  private long spareSinceMillis;
  private boolean asking;
  private long askedMillis;
  private long askAgainMillis = Long.MIN_VALUE;
  private long aheadAgainMillis = Long.MIN_VALUE;
  private double demandPerMilli;
  private long demandMillis;

  /** A request whose token may be used from some time on. */
  private record Promised<T>(Ticket<T> ticket, long fromMillis) {}

  /**
   * A message to the owner of the tokens.
   *
   * @param demand its content
   * @param sentMillis when it is sent, on the VM's monotonic clock
   */
  public record Ask(TokenDemand demand, long sentMillis) {}

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
    demandPerMilli = demandPerMilli(now) + 1 / DEMAND_MILLIS;
    demandMillis = now;
    dropExpired(now);
    if (waiting.isEmpty() && takeAny()) {
      return Admission.DISPATCH;
    }
    double hopefulTokens = burst + (ticket.deadlineMillis() - now) * ratePerSecond / 1_000;
    if (waiting.size() + asked.size() + promised.size() + 1 > hopefulTokens) {
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
    dropExpired(now);
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
  public synchronized Progress<T> giveBack(long now) {
    addSpare(1, now);
    return advance(now);
  }

  /**
   * Returns the message to send to the owner of the tokens, if one is due.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Optional<Ask> poll(long now) {
    dropExpired(now);
    if (asking && now < askedMillis + TokenOwner.ANSWER_MILLIS) {
      return Optional.empty();
    }
    forgetAsk();
    long target = (long) (demandPerMilli(now) * AHEAD_MILLIS);
    boolean needs = !waiting.isEmpty() && now >= askAgainMillis;
    boolean low = tokens * 2 < target && now >= Math.max(askAgainMillis, aheadAgainMillis);
    boolean returns = spare > 0 && now >= spareSinceMillis + SPARE_MILLIS;
    boolean surplus = tokens > target && now >= demandMillis + SPARE_MILLIS;
    if (!needs && !low && !returns && !surplus) {
      return Optional.empty();
    }
    if (surplus) {
      addSpare(tokens - target, now);
      tokens = target;
    }
    return Optional.of(ask(needs, Math.max(0, target - tokens), now));
  }

  private Ask ask(boolean needs, long ahead, long now) {
    long patience = 0;
    if (needs) {
      patience = Math.max(0, waiting.element().deadlineMillis() - now - ROUND_TRIP_MILLIS);
      asked.addAll(waiting);
      waiting.clear();
    }
    TokenDemand demand = new TokenDemand(tokens, spare, asked.size(), ahead, patience);
    spare = 0;
    asking = true;
    askedMillis = now;
    return new Ask(demand, now);
  }

  /**
   * Takes in an answer of the owner. Requests for which it has no token in time are among the
   * expired.
   *
   * @param grant the answer
   * @param sentMillis the send time of the message that is answered
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> granted(TokenOwner.Grant grant, long sentMillis, long now) {
    if (!isAnswer(sentMillis) || now >= sentMillis + TokenOwner.ANSWER_MILLIS) {
      return advance(now);
    }
    asking = false;
    aheadAgainMillis = now + grant.retryMillis();
    dropExpired(now);
    long expires = sentMillis + TokenOwner.GRANT_MILLIS;
    if (grant.ahead() > 0) {
      expiresMillis = tokens == 0 ? expires : Math.min(expiresMillis, expires);
      tokens += grant.ahead();
    }
    long left = grant.needed();
    while (left > 0 && !asked.isEmpty()) {
      promised.add(new Promised<>(asked.remove(), now + grant.delayMillis()));
      left--;
    }
    addSpare(left, now);
    List<Ticket<T>> refused = List.copyOf(asked);
    asked.clear();
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
  public synchronized void notAnswered(long sentMillis, long retryMillis, long now) {
    if (isAnswer(sentMillis)) {
      forgetAsk();
      askAgainMillis = now + retryMillis;
    }
  }

  /**
   * Expires requests that waited too long and gives tokens to the others.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> advance(long now) {
    dropExpired(now);
    List<Ticket<T>> dispatched = new ArrayList<>();
    promised.removeIf(promise -> promise.fromMillis() <= now && dispatched.add(promise.ticket()));
    List<Ticket<T>> expired = new ArrayList<>();
    asked.removeIf(ticket -> ticket.deadlineMillis() <= now && expired.add(ticket));
    waiting.removeIf(ticket -> ticket.deadlineMillis() <= now && expired.add(ticket));
    while (!(asked.isEmpty() && waiting.isEmpty()) && takeAny()) {
      dispatched.add(asked.isEmpty() ? waiting.remove() : asked.remove());
    }
    return new Progress<>(dispatched, expired);
  }

  private boolean isAnswer(long sentMillis) {
    return asking && sentMillis == askedMillis;
  }

  private void forgetAsk() {
    asking = false;
    while (!asked.isEmpty()) {
      waiting.addFirst(asked.removeLast());
    }
  }

  private boolean takeAny() {
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
    return demandPerMilli * Math.exp((demandMillis - now) / DEMAND_MILLIS);
  }

  private void dropExpired(long now) {
    if (now >= expiresMillis) {
      tokens = 0;
    }
  }
}
