package org.cowslipdale.daemon.request;

import org.cowslipdale.core.result.RefusalException;

/** Keeps customers within their rates and bursts over the whole fleet. */
public interface RateLimiter {

  /**
   * Takes one request from a customer's allowance and waits for it if necessary.
   *
   * @param customer the name of a customer or the identity of an open route
   * @param deadlineMillis until when to wait, on the VM's monotonic clock
   * @throws RefusalException if the allowance is used up until the deadline
   */
  void acquire(String customer, long deadlineMillis) throws RefusalException;

  /**
   * Gives back what was taken for a request that was sent to no server.
   *
   * @param customer the customer for which it was taken
   */
  void returnToken(String customer);
}
