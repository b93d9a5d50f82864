package org.cowslipdale.core.failover;

/** How a backend server is promoted to primary. */
public sealed interface PromotionMode {

  /** The control leader assigns the roles to the backend servers directly. */
  record ByServer() implements PromotionMode {}

  /**
   * The control leader requests the promotion from an external service, which checks the fencing
   * token of each call. The service also notifies the replicas which server to follow. A group may
   * already have a primary when the fleet starts.
   */
  record ByService() implements PromotionMode {}
}
