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
 * <p>The stock asks for more when requests wait or when it would run out within {@link
 * #AHEAD_MILLIS} at the present demand, so that in steady state no request waits. This class is
 * safe for use by several threads.
 *
 * @param <T> what the owner of the stock needs to continue a request
 */
public final class TokenStock<T> {

  /**
   * For how long the stock should last at the present demand, in milliseconds. The stocks of all
   * VMs count against the burst, which is often one second of the rate; more would leave the owner
   * nothing to issue.
   */
  private static final long AHEAD_MILLIS = 600;

  private static final long ANSWER_TIMEOUT_MILLIS = 300;
  private static final double SMOOTHING = 0.2;
  private static final long DEMAND_WINDOW_MILLIS = 100;

  private final Deque<Ticket<T>> waiting = new ArrayDeque<>();
  private long tokens;
  private long expiresMillis;
  private long askedMillis = Long.MIN_VALUE / 2;
  private long askAgainMillis = Long.MIN_VALUE / 2;
  private boolean asking;
  private long windowStartMillis;
  private long windowRequests;
  private double demandPerMilli;

  /**
   * A request for tokens.
   *
   * @param unused the tokens in stock
   * @param wanted the tokens wanted
   * @param sentMillis when it is sent, on the VM's monotonic clock
   */
  public record Ask(long unused, long wanted, long sentMillis) {}

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
    measureDemand(now);
    dropExpired(now);
    if (tokens > 0 && waiting.isEmpty()) {
      tokens--;
      return Admission.DISPATCH;
    }
    double hopefulTokens = burst + (ticket.deadlineMillis() - now) * ratePerSecond / 1_000;
    if (waiting.size() + 1 > hopefulTokens) {
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
   * Takes back a token whose request was not run, if the stock needs it; more would only wait for a
   * later rush.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> giveBack(long now) {
    boolean valid = now < expiresMillis;
    if (valid && tokens < wanted()) {
      tokens++;
    }
    return advance(now);
  }

  /**
   * Returns the request to send to the owner of the tokens, if one is due.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Optional<Ask> poll(long now) {
    dropExpired(now);
    boolean lost = asking && now >= askedMillis + ANSWER_TIMEOUT_MILLIS;
    if ((asking && !lost) || now < askAgainMillis) {
      return Optional.empty();
    }
    long wanted = wanted();
    boolean low = tokens < wanted && (tokens * 2 < wanted || !waiting.isEmpty());
    if (wanted == 0 || !low) {
      return Optional.empty();
    }
    asking = true;
    askedMillis = now;
    return Optional.of(new Ask(tokens, wanted - tokens, now));
  }

  /**
   * Takes in an answer of the owner.
   *
   * @param issued the tokens issued
   * @param retryMillis when it is worth to ask again, in milliseconds
   * @param sentMillis the send time of the request that is answered
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> granted(
      long issued, long retryMillis, long sentMillis, long now) {
    if (sentMillis == askedMillis) {
      asking = false;
      askAgainMillis = now + retryMillis;
    }
    dropExpired(now);
    long expires = sentMillis + TokenOwner.GRANT_MILLIS;
    if (issued > 0 && expires > now) {
      expiresMillis = tokens == 0 ? expires : Math.min(expiresMillis, expires);
      tokens += issued;
    }
    return advance(now);
  }

  /**
   * Expires requests that waited too long and gives tokens to the others.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> advance(long now) {
    dropExpired(now);
    List<Ticket<T>> dispatched = new ArrayList<>();
    List<Ticket<T>> expired = new ArrayList<>();
    waiting.removeIf(
        ticket -> {
          boolean late = ticket.deadlineMillis() <= now;
          if (late) {
            expired.add(ticket);
          }
          return late;
        });
    while (tokens > 0 && !waiting.isEmpty()) {
      tokens--;
      dispatched.add(waiting.remove());
    }
    return new Progress<>(dispatched, expired);
  }

  private long wanted() {
    return waiting.size() + (long) Math.ceil(demandPerMilli * AHEAD_MILLIS);
  }

  private void dropExpired(long now) {
    if (now >= expiresMillis) {
      tokens = 0;
    }
  }

  private void measureDemand(long now) {
    windowRequests++;
    long elapsed = now - windowStartMillis;
    if (elapsed >= DEMAND_WINDOW_MILLIS) {
      double current = (double) windowRequests / elapsed;
      demandPerMilli += SMOOTHING * (current - demandPerMilli);
      windowStartMillis = now;
      windowRequests = 0;
    }
  }
}
