package org.cowslipdale.core.failover;

/** Who carries a promotion out. */
public sealed interface PromotionMode {

  /** The backend servers themselves, on the control leader's order. */
  record ByServer() implements PromotionMode {}

  /**
   * An outside service, which checks the fence of each call. The servers learn from it whom to
   * follow, and a group may already have a primary when the fleet starts.
   */
  record ByService() implements PromotionMode {}
}
