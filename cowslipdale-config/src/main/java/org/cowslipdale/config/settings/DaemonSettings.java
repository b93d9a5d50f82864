package org.cowslipdale.config.settings;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipdale.core.admission.QueuePolicy;
import org.cowslipdale.core.budget.ClientLimits;
import org.cowslipdale.core.routing.RoutingPolicy;
import org.cowslipdale.core.routing.WriteFencing;

/**
 * The settings of one daemon.
 *
 * @param vm the identity of the VM
 * @param listen the addresses on which the daemon listens
 * @param control the VMs that store the control log, or the seeds to discover them
 * @param secrets the secrets that are shared with other processes
 * @param limits the resource and time limits of the daemon
 * @param observability the settings of logs and traces
 * @param policy the policies for routing and queuing
 * @param regions the regions of failure domains, for backend servers that do not announce theirs
 * @param promotionService the external service that performs promotions, if there is one
 * @param addressTranslations the addresses to connect to instead of announced addresses, by
 *     announced address
 * @param featureNames the names of optional features that the deployment asks for, including names
 *     that only an adapter knows
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
    Map<String, String> addressTranslations,
    List<String> featureNames) {

  /** Copies the collections. */
  public DaemonSettings {
    regions = Map.copyOf(regions);
    addressTranslations = Map.copyOf(addressTranslations);
    featureNames = List.copyOf(featureNames);
  }

  /**
   * Returns the address to connect to in place of an announced address.
   *
   * @param announced the address that a VM or backend server announced
   * @return the translated address, or the announced one if it has no translation
   */
  public String translate(String announced) {
    return addressTranslations.getOrDefault(announced, announced);
  }

  /** Returns whether this VM stores the control log. */
  public boolean storesControlLog() {
    return vm.dataFolder().isPresent()
        && (!control.seeds().isEmpty() || control.voters().containsKey(vm.name()));
  }

  /** Returns how writes to a replaced primary are prevented; by leases unless set otherwise. */
  public WriteFencing writeFencing() {
    return promotionService.map(PromotionService::writeFencing).orElse(WriteFencing.BY_LEASE);
  }

  /**
   * Returns the region of a failure domain.
   *
   * @param failureDomain the failure domain
   * @return the region, or the name of the failure domain if none is set
   */
  public String regionOf(String failureDomain) {
    return regions.getOrDefault(failureDomain, failureDomain);
  }

  /**
   * The identity and location of this VM.
   *
   * @param name the unique name; equals the peer address if VMs are discovered from seeds
   * @param label the name shown to external services and in logs
   * @param failureDomain the failure domain in which it runs
   * @param region the region in which it runs
   * @param dataFolder the folder for durable state; present on every VM with a disk
   */
  public record Vm(
      String name, String label, String failureDomain, String region, Optional<Path> dataFolder) {}

  /**
   * The VMs that store the control log: either a complete list of them, or seeds from which the
   * others are discovered.
   *
   * @param voters the peer addresses of all VMs that store the control log, by VM name; empty with
   *     seeds
   * @param seeds the peer addresses of some of these VMs
   * @param bootstrap whether an empty data folder is initialized for a new fleet, with the seeds as
   *     its first voters
   */
  public record Control(Map<String, String> voters, List<String> seeds, boolean bootstrap) {

    /** Copies the collections. */
    public Control {
      voters = Map.copyOf(voters);
      seeds = List.copyOf(seeds);
    }
  }

  /**
   * The external service that performs promotions.
   *
   * @param address the network address of the service
   * @param writeFencing how writes to a primary that the service has replaced are prevented
   */
  public record PromotionService(String address, WriteFencing writeFencing) {}

  /**
   * The addresses on which the daemon listens, each an IPv4 address and a port.
   *
   * @param callers serves the HTTP requests of callers
   * @param sessions serves the sessions of callers
   * @param readiness serves the health checks of the load balancer
   * @param control serves operators and backend servers that reach the fleet through an adapter
   * @param admin serves operators, the announcements of backend servers and metrics
   * @param peers serves other VMs
   */
  public record Listen(
      Optional<String> callers,
      Optional<String> sessions,
      Optional<String> readiness,
      Optional<String> control,
      String admin,
      String peers) {}

  /**
   * The secrets that are shared with other processes.
   *
   * @param cluster authenticates VMs to each other and signs session tokens
   * @param adminToken authenticates operators
   * @param announceToken authenticates backend servers
   * @param trustNetwork whether the network admits only trusted peers; the cluster secret is then
   *     optional, and operators and backend servers need no token to reach the fleet through an
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
   * The resource and time limits of the daemon.
   *
   * @param eventLoops the number of threads that serve callers
   * @param maxBodyBytes the maximum size of a request body, in bytes
   * @param maxHeaderBytes the maximum size of a request's headers, in bytes
   * @param maxConcurrentRequests the maximum number of requests that run or wait at a time
   * @param maxQueued the maximum number of requests that wait for one backend server at a time
   * @param transactionMillis the maximum duration of a transaction, in milliseconds
   * @param drainWaitMillis how long a stopping daemon reports that it is not ready before it stops
   *     accepting connections, in milliseconds
   * @param drainLimitMillis the maximum duration of a graceful shutdown, in milliseconds
   * @param maxHeldBytes the maximum number of bytes to hold for clients; 0 if it follows from the
   *     heap
   * @param clients the limits on the connections of clients
   */
  public record Limits(
      int eventLoops,
      int maxBodyBytes,
      int maxHeaderBytes,
      int maxConcurrentRequests,
      int maxQueued,
      long transactionMillis,
      long drainWaitMillis,
      long drainLimitMillis,
      int maxHeldBytes,
      ClientLimits clients) {}

  /**
   * The settings of logs and traces.
   *
   * @param logFormat {@code plain} or {@code json}
   * @param logLevel the lowest level that is logged
   * @param traceRatio the fraction of requests that are traced, from 0 to 1
   */
  public record Observability(String logFormat, String logLevel, double traceRatio) {}

  /**
   * The policies that can be replaced by a baseline policy for measurements.
   *
   * @param routing the policy that selects backend servers for reads
   * @param queue the order in which waiting requests are dispatched
   */
  public record Policy(RoutingPolicy routing, QueuePolicy queue) {}
}
