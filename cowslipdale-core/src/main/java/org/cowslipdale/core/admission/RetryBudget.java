package org.cowslipdale.core.admission;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a share of regular requests, so that retries do not amplify an overload.
 *
 * <p>Every request adds a tenth of a retry, up to a maximum of 100 retries. This class is safe for
 * use by several threads.
 */
public final class RetryBudget {

  private static final long CREDIT_PER_REQUEST = 1;
  private static final long CREDIT_PER_RETRY = 10;
  private static final long MAX_CREDIT = 100 * CREDIT_PER_RETRY;

  private final AtomicLong credit = new AtomicLong(MAX_CREDIT);

  /** Records a regular request, which adds to the budget. */
  public void recordRequest() {
    credit.updateAndGet(value -> Math.min(MAX_CREDIT, value + CREDIT_PER_REQUEST));
  }

  /**
   * Takes one retry from the budget if it allows one.
   *
   * @return whether the retry is allowed
   */
  public boolean tryRetry() {
    long before =
        credit.getAndUpdate(value -> value >= CREDIT_PER_RETRY ? value - CREDIT_PER_RETRY : value);
    return before >= CREDIT_PER_RETRY;
  }
}
