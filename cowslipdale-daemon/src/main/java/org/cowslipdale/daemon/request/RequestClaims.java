package org.cowslipdale.daemon.request;

import java.util.Optional;
import org.cowslipdale.core.result.RefusalException;

/** Makes sure that a request that may not be repeated runs at most once in the whole fleet. */
public interface RequestClaims {

  /**
   * Claims a request id before its request is dispatched.
   *
   * @param customer the customer
   * @param requestId the request id
   * @param deadlineMillis until when to try, on the VM's monotonic clock
   * @return the claim, or the recorded answer of an earlier attempt
   * @throws RefusalException if an earlier attempt may have run
   */
  Claim claim(String customer, String requestId, long deadlineMillis) throws RefusalException;

  /**
   * The exclusive right to run a request once.
   *
   * <p>Closing a claim without one of the other calls leaves it in place for good.
   */
  interface Claim {

    /** Returns the answer body of an earlier attempt that completed, if there was one. */
    Optional<String> earlierAnswer();

    /** Gives the claim back, because the request did not run and will not. */
    void release();

    /**
     * Records the answer of the request for resends.
     *
     * @param answer the answer body
     */
    void complete(String answer);
  }
}
