package org.cowslipdale.core.routing;

/** How reads are spread over the servers that satisfy their freshness. */
public sealed interface RoutingPolicy {

  /** Prefers the region, then replicas, then the failure domain, then the least loaded server. */
  record NearestReplica() implements RoutingPolicy {}

  /** Sends every read to the primary; a baseline for measurements. */
  record PrimaryOnly() implements RoutingPolicy {}

  /** Takes all suitable servers in turn, wherever they are; a baseline for measurements. */
  record RoundRobin() implements RoutingPolicy {}
}
