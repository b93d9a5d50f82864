package org.cowslipdale.core.result;

/** What a result code says about the execution of the request it answers. */
public enum Outcome {
  /** The request ran and its effects are acknowledged. */
  DONE,
  /** The request had no effect and will have none. */
  NOT_RUN,
  /** The request may have run; neither its success nor its absence can be claimed. */
  UNKNOWN
}
