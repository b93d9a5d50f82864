package org.cowslipdale.core.failover;

/** Who carries a promotion out. */
public sealed interface Promotion {

  /** The backend servers themselves, on the control leader's order. */
  record ByServer() implements Promotion {}

  /**
   * An outside service, which checks the fence of each call. The servers learn from it whom to
   * follow, and a group may already have a primary when the fleet starts.
   */
  record ByService() implements Promotion {}
}
