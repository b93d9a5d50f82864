package org.cowslipdale.core.admission;

import static java.util.Objects.requireNonNull;

/**
 * The properties of a request that decide when it is dispatched.
 *
 * @param customer the name of the customer that sent the request
 * @param priority the priority; 0 is dispatched before all others
 * @param objectiveMillis the time on the VM's monotonic clock by which the request should be
 *     complete; a request that misses it is late, but not expired
 * @param serviceClass the name of the class of requests with which it shares a mean service time
 */
public record RequestProfile(
    String customer, int priority, long objectiveMillis, String serviceClass) {

  /** Rejects null components and negative priorities. */
  public RequestProfile {
    requireNonNull(customer, "customer");
    requireNonNull(serviceClass, "serviceClass");
    if (priority < 0) {
      throw new IllegalArgumentException("priority must not be negative");
    }
  }

  /**
   * Creates a profile of the highest priority, for queues that do not order by priority.
   *
   * @param customer the name of the customer that sent the request
   * @param objectiveMillis the time by which the request should be complete
   */
  public static RequestProfile of(String customer, long objectiveMillis) {
    return new RequestProfile(customer, 0, objectiveMillis, "");
  }
}
