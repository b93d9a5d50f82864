package org.cowslipdale.config.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipdale.core.admission.QueuePolicy;
import org.cowslipdale.core.routing.RoutingPolicy;

/**
 * The settings of one daemon.
 *
 * @param vm the identity of the VM
 * @param listen the addresses that are bound
 * @param control how the VMs that keep the control log are found
 * @param secrets the secrets shared with other processes
 * @param limits limits that protect the daemon
 * @param observability logs and traces
 * @param policy the policies for routing and queueing
 * @param regions the region of each failure domain, as far as servers do not tell theirs
 * @param promotionService the outside service that carries promotions out, if there is one
 * @param addressTranslations where connections go instead of the announced address, by announced address
 */
public record DaemonSettings(
    Vm vm,
    Listen listen,
    Control control,
    Secrets secrets,
    Limits limits,
    Observability observability,
    Policy policy,
    Map<String, String> regions,
    Optional<PromotionService> promotionService,
    Map<String, String> addressTranslations) {

  /** Copies the maps. */
  public DaemonSettings {
    regions = Map.copyOf(regions);
    addressTranslations = Map.copyOf(addressTranslations);
  }

  /**
   * Returns the address to connect to for an announced address.
   *
   * @param announced the address that a VM or backend server announced
   */
  public String translate(String announced) {
    return addressTranslations.getOrDefault(announced, announced);
  }

  /** Returns whether this VM keeps the control log. */
  public boolean storesControlLog() {
    return vm.dataFolder().isPresent()
        && (!control.seeds().isEmpty() || control.voters().containsKey(vm.name()));
  }

  /**
   * Returns the region of a failure domain.
   *
   * @param failureDomain the failure domain
   */
  public String regionOf(String failureDomain) {
    return regions.getOrDefault(failureDomain, failureDomain);
  }

  /**
   * Who this VM is.
   *
   * @param name the unique name; the peer address where VMs are found from seeds
   * @param label the name shown to outside services and in logs
   * @param failureDomain the failure domain in which it runs
   * @param region the region in which it runs
   * @param dataFolder where its durable state is kept; present on every VM with a disk
   */
  public record Vm(
      String name, String label, String failureDomain, String region, Optional<Path> dataFolder) {}

  /**
   * How the VMs that keep the control log are found: either all of them are listed, or a few seeds
   * are given and the rest is learned.
   *
   * @param voters the peer addresses of the VMs that keep the control log, by VM name
   * @param seeds the peer addresses of some of these VMs
   * @param bootstrap whether an empty data folder becomes that of a new fleet, whose first voters
   *     are the seeds
   */
  public record Control(Map<String, String> voters, List<String> seeds, boolean bootstrap) {

    /** Copies the collections. */
    public Control {
      voters = Map.copyOf(voters);
      seeds = List.copyOf(seeds);
    }
  }

  /**
   * The outside service that carries promotions out.
   *
   * @param address its address
   */
  public record PromotionService(String address) {}

  /**
   * Addresses that are bound, each an IP number and a port.
   *
   * @param callers for callers, over HTTP
   * @param sessions for callers' sessions
   * @param readiness for the balancer's health checks
   * @param control for operators and backend servers that reach the fleet through an adapter
   * @param admin for operators, backend servers' announcements and metrics
   * @param peers for other VMs
   */
  public record Listen(
      Optional<String> callers,
      Optional<String> sessions,
      Optional<String> readiness,
      Optional<String> control,
      String admin,
      String peers) {}

  /**
   * Secrets shared with other processes.
   *
   * @param cluster authenticates VMs to each other and signs session tokens
   * @param adminToken authenticates operators
   * @param announceToken authenticates backend servers
   * @param trustNetwork whether the network keeps others away, so that the cluster secret may be
   *     missing and operators and backend servers reach the fleet without a token through an
   *     adapter
   */
  public record Secrets(
      String cluster, String adminToken, String announceToken, boolean trustNetwork) {

    @Override
    public String toString() {
      return "Secrets[hidden]";
    }
  }

  /**
   * Limits that protect the daemon.
   *
   * @param eventLoops threads that serve callers
   * @param maxBodyBytes the largest request body, in bytes
   * @param maxHeaderBytes the largest request header block, in bytes
   * @param maxConcurrentRequests requests that are served or wait at a time
   * @param maxQueued requests that wait for one backend server at a time
   * @param transactionMillis the longest duration of a transaction, in milliseconds
   * @param drainWaitMillis how long a stopping daemon stays unready before it stops to accept
   *     connections, in milliseconds
   * @param drainLimitMillis the longest duration of a graceful shutdown, in milliseconds
   */
  public record Limits(
      int eventLoops,
      int maxBodyBytes,
      int maxHeaderBytes,
      int maxConcurrentRequests,
      int maxQueued,
      long transactionMillis,
      long drainWaitMillis,
      long drainLimitMillis) {}

  /**
   * Logs and traces.
   *
   * @param logFormat {@code plain} or {@code json}
   * @param logLevel the lowest level that is logged
   * @param traceRatio the share of requests that are traced, from 0 to 1
   */
  public record Observability(String logFormat, String logLevel, double traceRatio) {}

  /**
   * Policies that can be replaced by a baseline for measurements.
   *
   * @param routing how reads are spread
   * @param queue in which order waiting requests are dispatched
   */
  public record Policy(RoutingPolicy routing, QueuePolicy queue) {}
}
