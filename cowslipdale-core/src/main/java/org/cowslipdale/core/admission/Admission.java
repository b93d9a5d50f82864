package org.cowslipdale.core.admission;

/** The decision on a request for a slot or a token. */
public enum Admission {
  /** The request has a slot or token and can be dispatched. */
  DISPATCH,
  /** The request waits in the queue. */
  QUEUED,
  /** The request is refused: the queue is full, or the request would miss its deadline. */
  REFUSED
}
