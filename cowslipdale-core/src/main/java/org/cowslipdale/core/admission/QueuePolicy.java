package org.cowslipdale.core.admission;

/** The order in which waiting requests are dispatched. */
public sealed interface QueuePolicy {

  /** Dispatches customers in turn and refuses requests that are expected to miss their deadline. */
  record Fair() implements QueuePolicy {}

  /**
   * Dispatches requests in order of arrival and refuses them only if the queue is full; a baseline
   * for measurements.
   */
  record Fifo() implements QueuePolicy {}

  /**
   * Dispatches higher priorities first; within a priority, the customer that had the least service
   * recently; within a customer, requests that can still meet their objective. One in {@link
   * Priority#OLDEST_FIRST_INTERVAL} dispatches goes to the request that has waited longest, so that
   * no request starves. Requests that are expected to miss their deadline are refused, and a
   * request of a higher priority displaces one of a lower priority from a full queue.
   */
  record Priority() implements QueuePolicy {

    /** Of this many dispatches to waiting requests, one goes to the request that waited longest. */
    public static final int OLDEST_FIRST_INTERVAL = 8;
  }
}
