package org.cowslipdale.core.admission;

/** In which order waiting requests are dispatched. */
public sealed interface QueuePolicy {

  /** Takes customers in turn and refuses early what would wait beyond its limit. */
  record Fair() implements QueuePolicy {}

  /** Takes requests in order of arrival and never refuses early; a baseline for measurements. */
  record Fifo() implements QueuePolicy {}
}
