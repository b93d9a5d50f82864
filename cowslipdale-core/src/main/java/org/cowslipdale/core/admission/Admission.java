package org.cowslipdale.core.admission;

/** What becomes of a request that asks for a slot. */
public enum Admission {
  /** The request has a slot and is to be dispatched. */
  DISPATCH,
  /** The request waits in the queue. */
  QUEUED,
  /** The request was refused because it would wait beyond its limit. */
  REFUSED
}
