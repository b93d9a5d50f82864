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
}
