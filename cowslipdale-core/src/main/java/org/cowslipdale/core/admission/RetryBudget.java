package org.cowslipdale.core.admission;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a share of regular requests, so that retries cannot multiply an overload.
 *
 * <p>Every request earns a tenth of a retry, up to a reserve. This class is safe for use by several
 * threads.
 */
public final class RetryBudget {

  private static final long PER_REQUEST = 1;
  private static final long PER_RETRY = 10;
  private static final long RESERVE = 100 * PER_RETRY;

  private final AtomicLong credit = new AtomicLong(RESERVE);

  /** Records a regular request. */
  public void earn() {
    credit.updateAndGet(value -> Math.min(RESERVE, value + PER_REQUEST));
  }

  /**
   * Takes one retry from the budget.
   *
   * @return whether the budget allowed it
   */
  public boolean tryRetry() {
    long before = credit.getAndUpdate(value -> value >= PER_RETRY ? value - PER_RETRY : value);
    return before >= PER_RETRY;
  }
}
