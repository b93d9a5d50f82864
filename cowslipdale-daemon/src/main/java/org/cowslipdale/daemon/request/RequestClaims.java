package org.cowslipdale.daemon.request;

import java.util.Optional;
import org.cowslipdale.core.result.RefusalException;

/** Ensures that a request that is not repeatable runs at most once in the whole fleet. */
public interface RequestClaims {

  /**
   * Claims a request id before the request is sent to a backend server.
   *
   * @param customer the name of the customer that sent the request
   * @param requestId the request id
   * @param deadlineMillis the time at which to stop trying, in milliseconds of the VM's monotonic
   *     clock
   * @return the claim; it carries the recorded answer if an earlier attempt completed
   * @throws RefusalException if the request id is invalid, an earlier attempt may have run, or no
   *     claim was granted
   */
  Claim claim(String customer, String requestId, long deadlineMillis) throws RefusalException;

  /**
   * The exclusive right to run a request once.
   *
   * <p>A claim that is neither released nor completed stays in place, so that later attempts with
   * the same request id are refused.
   */
  interface Claim {

    /** Returns the reply body of an earlier attempt that completed, if there was one. */
    Optional<String> earlierAnswer();

    /** Releases the claim because the request did not run and will not run. */
    void release();

    /**
     * Records the reply body of the request as the answer to resends.
     *
     * @param answer the reply body
     */
    void complete(String answer);
  }
}
