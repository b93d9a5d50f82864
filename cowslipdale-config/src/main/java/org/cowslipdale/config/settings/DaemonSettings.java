package org.cowslipdale.config.settings;

import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.cowslipdale.core.admission.QueuePolicy;
import org.cowslipdale.core.routing.RoutingPolicy;

/**
 * The settings of one daemon.
 *
 * @param vm the identity of the VM
 * @param listen the addresses that are bound
 * @param voters the peer addresses of the VMs that keep the control log, by VM name
 * @param secrets the secrets shared with other processes
 * @param limits limits that protect the daemon
 * @param observability logs and traces
 * @param policy the policies for routing and queueing
 * @param translations where connections go instead of the announced address, by announced address
 */
public record DaemonSettings(
    Vm vm,
    Listen listen,
    Map<String, String> voters,
    Secrets secrets,
    Limits limits,
    Observability observability,
    Policy policy,
    Map<String, String> translations) {

  /** Copies the maps. */
  public DaemonSettings {
    voters = Map.copyOf(voters);
    translations = Map.copyOf(translations);
  }

  /**
   * Returns the address to connect to for an announced address.
   *
   * @param announced the address that a VM or backend server announced
   */
  public String reachable(String announced) {
    return translations.getOrDefault(announced, announced);
  }

  /** Returns whether this VM keeps the control log. */
  public boolean isVoter() {
    return voters.containsKey(vm.name());
  }

  /**
   * Who this VM is.
   *
   * @param name the unique name
   * @param failureDomain the failure domain in which it runs
   * @param region the region in which it runs
   * @param dataFolder where its durable state is kept; present on every VM with a disk
   */
  public record Vm(String name, String failureDomain, String region, Optional<Path> dataFolder) {}

  /**
   * Addresses that are bound, each an IP number and a port.
   *
   * @param callers for callers
   * @param admin for operators, backend servers' announcements and metrics
   * @param peers for other VMs
   */
  public record Listen(String callers, String admin, String peers) {}

  /**
   * Secrets shared with other processes.
   *
   * @param cluster authenticates VMs to each other and signs session tokens
   * @param adminToken authenticates operators
   * @param announceToken authenticates backend servers
   */
  public record Secrets(String cluster, String adminToken, String announceToken) {

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
