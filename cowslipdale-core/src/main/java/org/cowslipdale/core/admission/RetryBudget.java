package org.cowslipdale.core.admission;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a share of regular requests, so that retries cannot multiply an overload.
 *
 * <p>Every request earns a tenth of a retry, up to a reserve. This class is safe for use by several
 * threads.
 */
public final class RetryBudget {

  private static final long CREDIT_PER_REQUEST = 1;
  private static final long CREDIT_PER_RETRY = 10;
  private static final long MAX_CREDIT = 100 * CREDIT_PER_RETRY;

  private final AtomicLong credit = new AtomicLong(MAX_CREDIT);

  /** Records a regular request. */
  public void recordRequest() {
    credit.updateAndGet(value -> Math.min(MAX_CREDIT, value + CREDIT_PER_REQUEST));
  }

  /**
   * Takes one retry from the budget.
   *
   * @return whether the budget allowed it
   */
  public boolean tryRetry() {
    long before = credit.getAndUpdate(value -> value >= CREDIT_PER_RETRY ? value - CREDIT_PER_RETRY : value);
    return before >= CREDIT_PER_RETRY;
  }
}
