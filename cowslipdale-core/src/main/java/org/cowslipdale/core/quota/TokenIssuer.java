package org.cowslipdale.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cowslipdale.core.view.RateLimit;

/**
 * Issues the tokens of all customers. One instance serves the whole fleet, on the control leader.
 *
 * <p>Every token is issued once, so all VMs together admit no more than rate and burst allow. The
 * bucket stays on the leader: VMs request tokens for waiting requests, and prefetch tokens up to
 * half of the burst. If the bucket is empty, waiting requests are issued the next tokens that will
 * accrue, in the order of the demands, as long as the requests can wait for them.
 *
 * <p>A new leader does not know which tokens its predecessor issued. It starts with the tokens that
 * have accrued since the latest time for which the predecessor could issue any. Issued tokens count
 * against the burst while they may be unused. This class is confined to one thread.
 */
public final class TokenIssuer {

  /**
   * How long a VM may use prefetched tokens, counted from when it sent its demand, in milliseconds.
   * Longer than a change of leader takes: election, first log entry and first lease renewal.
   */
  public static final long PREFETCH_LIFETIME_MILLIS = 5_000;

  /** How long a VM waits for an answer, in milliseconds. Later answers are ignored. */
  public static final long ANSWER_TIMEOUT_MILLIS = 300;

  /**
   * The leader's bound on {@link #PREFETCH_LIFETIME_MILLIS}; longer by the bound on clock drift
   * between two VMs.
   */
  private static final long PREFETCH_LIFETIME_BOUND_MILLIS = 5_500;

  /** The leader's bound on {@link #ANSWER_TIMEOUT_MILLIS}; longer by the same drift. */
  private static final long ANSWER_TIMEOUT_BOUND_MILLIS = 330;

  /**
   * Maximum time by which tokens are issued before they accrue, in milliseconds. Leaves most of a
   * target latency of 800 ms or more to the request itself.
   */
  static final long MAX_DELAY_MILLIS = 200;

  /** Maximum retry delay of a VM, in milliseconds; bounded as a rate may rise at any time. */
  static final long MAX_RETRY_MILLIS = 250;

  private final long accrualStartMillis;
  private final Map<String, Bucket> buckets = new HashMap<>();

  private static final class Bucket {

    /** Negative while issued tokens have not accrued yet. */
    private double tokens;

    private long lastRefillMillis;
    private final Map<String, Outstanding> prefetchedByVm = new HashMap<>();
    private final List<Outstanding> inFlight = new ArrayList<>();

    Bucket(long startMillis) {
      this.lastRefillMillis = startMillis;
    }

    long prefetchedTokens() {
      return prefetchedByVm.values().stream().mapToLong(Outstanding::tokens).sum();
    }

    void removeExpired(long now) {
      prefetchedByVm.values().removeIf(prefetched -> prefetched.expiresMillis() <= now);
      inFlight.removeIf(issued -> issued.expiresMillis() <= now);
    }

    void refill(RateLimit limit, long returned, long now) {
      long issued = inFlight.stream().mapToLong(Outstanding::tokens).sum();
      double accrued = (now - lastRefillMillis) * limit.ratePerSecond() / 1_000;
      double cap = Math.max(0, limit.burst() - prefetchedTokens() - issued);
      tokens = Math.min(cap, tokens + accrued + returned);
      lastRefillMillis = now;
    }
  }

  /** Issued tokens that may be unused until they expire. */
  private record Outstanding(long tokens, long expiresMillis) {}

  /**
   * An answer to a {@link TokenDemand}.
   *
   * @param needed the number of tokens issued for waiting requests; further requests cannot get a
   *     token in time
   * @param delayMillis how long after the answer these tokens become usable, in milliseconds
   * @param prefetched the number of tokens issued in addition, usable at once
   * @param retryMillis how long to wait before prefetching more tokens, in milliseconds
   */
  public record Grant(long needed, long delayMillis, long prefetched, long retryMillis) {}

  /**
   * Creates an issuer on a new leader.
   *
   * @param previousIssuerEndMillis the latest time at which a previous leader could issue tokens,
   *     on the leader's monotonic clock
   */
  public TokenIssuer(long previousIssuerEndMillis) {
    this.accrualStartMillis = previousIssuerEndMillis + MAX_DELAY_MILLIS;
  }

  /**
   * Issues tokens to a VM.
   *
   * @param customer the name of the customer
   * @param limit the rate and burst of the customer
   * @param vm the name of the VM that sent the demand
   * @param demand the demand
   * @param now the current time on the leader's monotonic clock, in milliseconds
   */
  public Grant issue(String customer, RateLimit limit, String vm, TokenDemand demand, long now) {
    Bucket bucket = buckets.computeIfAbsent(customer, name -> new Bucket(accrualStartMillis));
    bucket.removeExpired(now);
    setPrefetched(bucket, vm, demand.unused(), now);
    bucket.refill(limit, demand.returned(), now);
    double ratePerMilli = limit.ratePerSecond() / 1_000;
    long maxWait = Math.min(demand.maxWaitMillis(), MAX_DELAY_MILLIS);
    double availableInTime = bucket.tokens + maxWait * ratePerMilli;
    long needed = Math.clamp((long) Math.floor(availableInTime), 0, demand.needed());
    bucket.tokens -= needed;
    long delay = (long) Math.ceil(Math.max(0, -bucket.tokens) / ratePerMilli);
    if (needed > 0) {
      bucket.inFlight.add(new Outstanding(needed, now + delay + ANSWER_TIMEOUT_BOUND_MILLIS));
    }
    double spare = Math.min(bucket.tokens, limit.burst() / 2.0 - bucket.prefetchedTokens());
    long prefetched = Math.clamp((long) Math.floor(spare), 0, demand.prefetch());
    bucket.tokens -= prefetched;
    setPrefetched(bucket, vm, demand.unused() + prefetched, now);
    long retry = (long) Math.ceil((1 - bucket.tokens) / ratePerMilli);
    return new Grant(
        needed, needed == 0 ? 0 : delay, prefetched, Math.clamp(retry, 1, MAX_RETRY_MILLIS));
  }

  private static void setPrefetched(Bucket bucket, String vm, long tokens, long now) {
    if (tokens == 0) {
      bucket.prefetchedByVm.remove(vm);
    } else {
      bucket.prefetchedByVm.put(vm, new Outstanding(tokens, now + PREFETCH_LIFETIME_BOUND_MILLIS));
    }
  }
}
