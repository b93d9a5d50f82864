package org.cowslipdale.config.protocol;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.control.ChangeRecord;
import org.cowslipdale.core.view.ApiKey;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.VmRecord;
import org.jspecify.annotations.Nullable;

/** The JSON bodies of requests and responses of the administration interface. */
public final class AdminMessages {

  private AdminMessages() {}

  /**
   * The configuration of the fleet.
   *
   * @param version the version of the view
   * @param configurationVersion the version of the configuration, to be sent as the expected
   *     version of a change
   * @param configuration the configuration
   */
  public record ConfigurationBody(
      long version, long configurationVersion, Configuration configuration) {}

  /**
   * Replaces the configuration.
   *
   * @param requestId the identifier shared by all resends
   * @param expectedVersion the configuration version on which the change is based
   * @param configuration the new configuration
   */
  public record ConfigurationUpdate(
      String requestId, long expectedVersion, Configuration configuration) {

    /** Rejects null components. */
    public ConfigurationUpdate {
      requireNonNull(requestId, "requestId");
      requireNonNull(configuration, "configuration");
    }
  }

  /**
   * Adds an API key. Only its digest is sent; the operator keeps the key itself.
   *
   * @param requestId the identifier shared by all resends
   * @param key the salted digest of the key
   */
  public record KeyAddition(String requestId, ApiKey key) {

    /** Rejects null components. */
    public KeyAddition {
      requireNonNull(requestId, "requestId");
      requireNonNull(key, "key");
    }
  }

  /**
   * Removes a key or a VM.
   *
   * @param requestId the identifier shared by all resends
   * @param name the key id or the name of the VM
   */
  public record Removal(String requestId, String name) {

    /** Rejects null components. */
    public Removal {
      requireNonNull(requestId, "requestId");
      requireNonNull(name, "name");
    }
  }

  /**
   * A valid API key.
   *
   * @param id the public part of the key
   * @param customer the customer to whom it was issued
   */
  public record KeyInfo(String id, String customer) {}

  /**
   * The valid API keys.
   *
   * @param keys the keys, sorted by id
   */
  public record KeyList(List<KeyInfo> keys) {}

  /**
   * Sets whether a VM is drained, that is, requests no new connections from the load balancer.
   *
   * @param drained whether the VM is drained
   */
  public record DrainBody(boolean drained) {}

  /**
   * Begins or ends the evacuation of a failure domain.
   *
   * @param failureDomain the name of the failure domain
   */
  public record EvacuationOrder(String failureDomain) {

    /** Rejects a null component. */
    public EvacuationOrder {
      requireNonNull(failureDomain, "failureDomain");
    }
  }

  /**
   * The results of recent changes.
   *
   * @param changes the results, oldest first
   */
  public record HistoryBody(List<ChangeRecord> changes) {}

  /**
   * Reports whether a version of the view is in force on every VM.
   *
   * @param version the version of the view
   * @param inForce whether it is in force on every VM
   * @param waitingFor the VMs on which it may not be in force yet
   */
  public record InForceBody(long version, boolean inForce, List<String> waitingFor) {}

  /**
   * The state of the fleet as known to one VM.
   *
   * @param vm the VM that responds
   * @param leader the control leader, or null if none responds
   * @param version the version of the view on this VM
   * @param configurationVersion the version of the configuration on this VM
   * @param leaseMillis the remaining time of this VM's lease, in milliseconds
   * @param vms the VMs of the fleet
   * @param databases the database groups
   * @param evacuatedDomains the evacuated failure domains, sorted by name
   */
  public record StatusBody(
      String vm,
      @Nullable String leader,
      long version,
      long configurationVersion,
      long leaseMillis,
      List<VmStatus> vms,
      List<DatabaseStatus> databases,
      List<String> evacuatedDomains) {

    /** A VM of an earlier version sends no evacuated failure domains. */
    public StatusBody {
      evacuatedDomains = evacuatedDomains == null ? List.of() : List.copyOf(evacuatedDomains);
    }

    /**
     * Creates a status from the state of a VM.
     *
     * @param vm the VM that responds
     * @param view its view
     * @param leaseMillis the remaining time of its lease, in milliseconds
     * @param registry the backend servers known to it
     * @param leader the control leader, or null if none responds
     * @param leaseHolders the VMs that hold a lease, according to the leader
     * @param now the current time on the VM's monotonic clock, in milliseconds
     */
    public static StatusBody of(
        String vm,
        View view,
        long leaseMillis,
        BackendRegistry registry,
        @Nullable String leader,
        List<String> leaseHolders,
        long now) {
      List<VmStatus> vms = new ArrayList<>();
      for (VmRecord member : view.activeVms()) {
        vms.add(
            new VmStatus(
                member.name(),
                member.failureDomain(),
                member.region(),
                member.peerAddress(),
                leaseHolders.contains(member.name())));
      }
      List<DatabaseStatus> databases = new ArrayList<>();
      for (String database : view.configuration().databases().keySet().stream().sorted().toList()) {
        databases.add(DatabaseStatus.of(database, view.database(database), registry, now));
      }
      return new StatusBody(
          vm,
          leader,
          view.version(),
          view.configurationVersion(),
          leaseMillis,
          vms,
          databases,
          view.evacuatedDomains().stream().sorted().toList());
    }
  }

  /**
   * The status of a VM.
   *
   * @param name its name
   * @param failureDomain its failure domain
   * @param region its region
   * @param peerAddress the address on which it accepts connections from other VMs
   * @param holdsLease whether it holds a lease, according to the leader
   */
  public record VmStatus(
      String name, String failureDomain, String region, String peerAddress, boolean holdsLease) {}

  /**
   * The status of a database group.
   *
   * @param name its name
   * @param term its current term
   * @param primary its primary, or null if it has none
   * @param servers the backend servers that have announced themselves, sorted by name
   */
  public record DatabaseStatus(
      String name, long term, @Nullable String primary, List<ServerInfo> servers) {

    private static DatabaseStatus of(
        String name, DatabaseState state, BackendRegistry registry, long now) {
      List<ServerInfo> servers = new ArrayList<>();
      for (BackendServer server : registry.group(name).servers().values()) {
        servers.add(ServerInfo.of(server, now));
      }
      servers.sort(Comparator.comparing(ServerInfo::name));
      return new DatabaseStatus(name, state.term(), state.primary(), servers);
    }
  }

  /**
   * The status of a backend server.
   *
   * @param name its name
   * @param address its address
   * @param failureDomain its failure domain
   * @param role the role that it announced
   * @param term the term of its log
   * @param offset the end of its applied log
   * @param ageMillis the maximum age of its data, in milliseconds
   * @param leaving whether it accepts no new work because it is leaving
   */
  public record ServerInfo(
      String name,
      String address,
      String failureDomain,
      String role,
      long term,
      long offset,
      long ageMillis,
      boolean leaving) {

    private static ServerInfo of(BackendServer server, long now) {
      return new ServerInfo(
          server.name(),
          server.announcement().address(),
          server.announcement().failureDomain(),
          server.announcement().role().name(),
          server.position().term(),
          server.observedOffset(),
          server.ageMillis(now),
          server.announcement().leaving());
    }
  }
}
