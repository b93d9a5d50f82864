package org.cowslipdale.core.result;

/** States whether a request was executed, as far as its result code can say. */
public enum Outcome {
  /** The request ran and its effects are acknowledged. */
  DONE,
  /** The request had no effect and will have none. */
  NOT_RUN,
  /** The request may or may not have run. */
  UNKNOWN
}
