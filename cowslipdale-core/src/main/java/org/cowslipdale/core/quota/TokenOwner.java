package org.cowslipdale.core.quota;

import java.util.HashMap;
import java.util.Map;
import org.cowslipdale.core.view.RateLimit;
import org.jspecify.annotations.Nullable;

/**
 * Issues the tokens of all customers; one instance acts for the whole fleet, on the control leader.
 *
 * <p>Every token is issued once, so all VMs together admit no more than rate and burst allow. A new
 * leader does not know what its predecessor issued and starts with what the rate has yielded since
 * the predecessor could last issue any. Issued tokens count against the burst until they are
 * reported as used or expire, so a stock of tokens on VMs cannot add to the burst. This class is
 * confined to one thread.
 */
public final class TokenOwner {

  /**
   * How long a VM may use the tokens of a grant, counted from when it sent its request, in
   * milliseconds. Longer than the loss of a leader is felt: election, first entry, first renewal.
   */
  public static final long GRANT_MILLIS = 5_000;

  /** The leader's bound on a grant; longer by the bound on clock drift between two VMs. */
  private static final long GRANT_BOUND_MILLIS = 5_500;

  /** A rate may rise at any time, so no VM is told to wait for longer, in milliseconds. */
  static final long LONGEST_RETRY_MILLIS = 250;

  private final long formerOwnerEndMillis;
  private final Map<String, Bucket> buckets = new HashMap<>();

  private static final class Bucket {

    private double tokens;
    private long refilledMillis;
    private final Map<String, Stock> stocks = new HashMap<>();

    Bucket(long refilledMillis) {
      this.refilledMillis = refilledMillis;
    }
  }

  /** The unused tokens of one VM. */
  private record Stock(long tokens, long expiresMillis) {}

  /**
   * An answer to a request for tokens.
   *
   * @param tokens the tokens issued; may be 0
   * @param retryMillis when it is worth to ask again, in milliseconds
   */
  public record Grant(long tokens, long retryMillis) {}

  /**
   * Creates the owner on a new leader.
   *
   * @param formerOwnerEndMillis when an earlier leader could last issue tokens, on the leader's
   *     monotonic clock
   */
  public TokenOwner(long formerOwnerEndMillis) {
    this.formerOwnerEndMillis = formerOwnerEndMillis;
  }

  /**
   * Issues tokens to a VM.
   *
   * @param customer the customer
   * @param limit the customer's limits
   * @param vm the VM that asks
   * @param unused the tokens that the VM still has from earlier grants
   * @param wanted the tokens that the VM wants
   * @param vms the number of VMs that share the burst
   * @param now the present time on the leader's monotonic clock, in milliseconds
   */
  public Grant issue(
      String customer, RateLimit limit, String vm, long unused, long wanted, int vms, long now) {
    Bucket bucket = buckets.computeIfAbsent(customer, name -> new Bucket(formerOwnerEndMillis));
    long kept = Math.min(unused, remaining(bucket.stocks.get(vm), now));
    if (kept == 0) {
      bucket.stocks.remove(vm);
    } else {
      bucket.stocks.put(vm, new Stock(kept, now + GRANT_BOUND_MILLIS));
    }
    refill(bucket, limit, now);
    long share = Math.max(1, limit.burst() / Math.max(1, vms));
    long issued = Math.min(Math.min(wanted, share), (long) Math.floor(bucket.tokens));
    if (issued <= 0) {
      double missing = 1 - bucket.tokens;
      long wait = (long) Math.ceil(missing * 1_000 / limit.ratePerSecond());
      return new Grant(0, Math.clamp(wait, 1, LONGEST_RETRY_MILLIS));
    }
    bucket.tokens -= issued;
    bucket.stocks.put(vm, new Stock(kept + issued, now + GRANT_BOUND_MILLIS));
    return new Grant(issued, 0);
  }

  private void refill(Bucket bucket, RateLimit limit, long now) {
    long outstanding = 0;
    bucket.stocks.values().removeIf(stock -> stock.expiresMillis() <= now);
    for (Stock stock : bucket.stocks.values()) {
      outstanding += stock.tokens();
    }
    double earned = (now - bucket.refilledMillis) * limit.ratePerSecond() / 1_000;
    double cap = Math.max(0, limit.burst() - outstanding);
    bucket.tokens = Math.min(cap, bucket.tokens + earned);
    bucket.refilledMillis = now;
  }

  private static long remaining(@Nullable Stock stock, long now) {
    return stock == null || stock.expiresMillis() <= now ? 0 : stock.tokens();
  }
}
