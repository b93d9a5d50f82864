package org.cowslipdale.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipdale.core.view.RateLimit;

/**
 * Issues the tokens of all customers; one instance acts for the whole fleet, on the control leader.
 *
 * <p>Every token is issued once, so all VMs together admit no more than rate and burst allow. The
 * burst stays here: VMs fetch tokens for requests that wait, and tokens ahead of need up to half of
 * the burst. If the bucket is empty, waiting requests are issued the next tokens that it will earn,
 * in the order in which they are asked for, as long as they can wait for them.
 *
 * <p>A new leader does not know what its predecessor issued and starts with what the rate has
 * yielded since the last time for which the predecessor could issue any. Issued tokens count
 * against the burst while they may be unused. This class is confined to one thread.
 */
public final class TokenIssuer {

  /**
   * How long a VM may use tokens issued ahead of need, counted from when it sent its request, in
   * milliseconds. Longer than the loss of a leader is felt: election, first entry, first renewal.
   */
  public static final long PREFETCH_LIFETIME_MILLIS = 5_000;

  /** How long a VM waits for an answer, in milliseconds; later ones are not used. */
  public static final long ANSWER_TIMEOUT_MILLIS = 300;

  /** The leader's bound on {@link #PREFETCH_LIFETIME_MILLIS}, by the bound on clock drift between two VMs. */
  private static final long PREFETCH_LIFETIME_BOUND_MILLIS = 5_500;

  /** The leader's bound on {@link #ANSWER_TIMEOUT_MILLIS}, by the same drift. */
  private static final long ANSWER_TIMEOUT_BOUND_MILLIS = 330;

  /**
   * How long before they are earned tokens are issued at most, in milliseconds; leaves most of the
   * targets of 800 ms and more to the request itself.
   */
  static final long MAX_DELAY_MILLIS = 200;

  /** A rate may rise at any time, so no VM is told to wait for longer, in milliseconds. */
  static final long MAX_RETRY_MILLIS = 250;

  private final long accrualStartMillis;
  private final Map<String, Bucket> buckets = new HashMap<>();

  private static final class Bucket {

    /** Negative while tokens are issued that are not earned yet. */
    private double tokens;

    private long lastRefillMillis;
    private final Map<String, Outstanding> prefetchedByVm = new HashMap<>();
    private final List<Outstanding> inFlight = new ArrayList<>();

    Bucket(long refilledMillis) {
      this.lastRefillMillis = refilledMillis;
    }

    long prefetchedTokens() {
      return prefetchedByVm.values().stream().mapToLong(Outstanding::tokens).sum();
    }

    void removeExpired(long now) {
      prefetchedByVm.values().removeIf(stock -> stock.expiresMillis() <= now);
      inFlight.removeIf(issued -> issued.expiresMillis() <= now);
    }

    void refill(RateLimit limit, long returned, long now) {
      long issued = inFlight.stream().mapToLong(Outstanding::tokens).sum();
      double earned = (now - lastRefillMillis) * limit.ratePerSecond() / 1_000;
      double cap = Math.max(0, limit.burst() - prefetchedTokens() - issued);
      tokens = Math.min(cap, tokens + earned + returned);
      lastRefillMillis = now;
    }
  }

  /** Issued tokens that may be unused. */
  private record Outstanding(long tokens, long expiresMillis) {}

  /**
   * An answer to a VM.
   *
   * @param needed the tokens issued for requests that wait; requests beyond them cannot get one in
   *     time
   * @param delayMillis how long after the answer these may be used, in milliseconds
   * @param prefetched the tokens issued in addition, usable at once
   * @param retryMillis when it is worth to ask for more tokens ahead of need, in milliseconds
   */
  public record Grant(long needed, long delayMillis, long prefetched, long retryMillis) {}

  /**
   * Creates the owner on a new leader.
   *
   * @param formerOwnerEndMillis when an earlier leader could last issue tokens, on the leader's
   *     monotonic clock
   */
  public TokenIssuer(long formerOwnerEndMillis) {
    this.accrualStartMillis = formerOwnerEndMillis + MAX_DELAY_MILLIS;
  }

  /**
   * Issues tokens to a VM.
   *
   * @param customer the customer
   * @param limit the customer's limits
   * @param vm the VM that asks
   * @param demand what the VM has and wants
   * @param now the present time on the leader's monotonic clock, in milliseconds
   */
  public Grant issue(String customer, RateLimit limit, String vm, TokenDemand demand, long now) {
    Bucket bucket = buckets.computeIfAbsent(customer, name -> new Bucket(accrualStartMillis));
    bucket.removeExpired(now);
    setPrefetched(bucket, vm, demand.unused(), now);
    bucket.refill(limit, demand.returned(), now);
    double ratePerMilli = limit.ratePerSecond() / 1_000;
    long patience = Math.min(demand.maxWaitMillis(), MAX_DELAY_MILLIS);
    double inTime = bucket.tokens + patience * ratePerMilli;
    long needed = Math.clamp((long) Math.floor(inTime), 0, demand.needed());
    bucket.tokens -= needed;
    long delay = (long) Math.ceil(Math.max(0, -bucket.tokens) / ratePerMilli);
    if (needed > 0) {
      bucket.inFlight.add(new Outstanding(needed, now + delay + ANSWER_TIMEOUT_BOUND_MILLIS));
    }
    double spare = Math.min(bucket.tokens, limit.burst() / 2.0 - bucket.prefetchedTokens());
    long ahead = Math.clamp((long) Math.floor(spare), 0, demand.prefetch());
    bucket.tokens -= ahead;
    setPrefetched(bucket, vm, demand.unused() + ahead, now);
    long retry = (long) Math.ceil((1 - bucket.tokens) / ratePerMilli);
    return new Grant(
        needed, needed == 0 ? 0 : delay, ahead, Math.clamp(retry, 1, MAX_RETRY_MILLIS));
  }

  private static void setPrefetched(Bucket bucket, String vm, long tokens, long now) {
    if (tokens == 0) {
      bucket.prefetchedByVm.remove(vm);
    } else {
      bucket.prefetchedByVm.put(vm, new Outstanding(tokens, now + PREFETCH_LIFETIME_BOUND_MILLIS));
    }
  }
}
