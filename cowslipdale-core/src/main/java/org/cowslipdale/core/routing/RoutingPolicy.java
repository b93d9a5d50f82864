package org.cowslipdale.core.routing;

/** How reads are distributed over the servers whose data is fresh enough. */
public sealed interface RoutingPolicy {

  /** Prefers the VM's region, then replicas, then its failure domain, then the lowest load. */
  record NearestReplica() implements RoutingPolicy {}

  /** Sends every read to the primary; a baseline for measurements. */
  record PrimaryOnly() implements RoutingPolicy {}

  /** Uses all suitable servers in turn, wherever they are; a baseline for measurements. */
  record RoundRobin() implements RoutingPolicy {}
}
