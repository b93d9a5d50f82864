package org.cowslipdale.daemon.request;

import org.cowslipdale.core.result.RefusalException;

/** Enforces the request rates and bursts of customers and open routes across the whole fleet. */
public interface RateLimiter {

  /**
   * Acquires a token for one request of a customer and waits for it if necessary.
   *
   * @param customer the name of a customer or the identity of an open route
   * @param deadlineMillis the time at which to stop waiting, in milliseconds of the VM's monotonic
   *     clock
   * @throws RefusalException if no token is available before the deadline
   */
  void acquire(String customer, long deadlineMillis) throws RefusalException;

  /**
   * Returns the token of a request that was not sent to any server.
   *
   * @param customer the name of the customer or the identity of the open route that acquired it
   */
  void returnToken(String customer);
}
