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

/** The JSON bodies of the administration interface. */
public final class AdminMessages {

  private AdminMessages() {}

  /**
   * The configuration of the fleet.
   *
   * @param version the version of the view
   * @param configurationVersion the version of the configuration, on which changes are based
   * @param configuration the configuration
   */
  public record ConfigurationBody(
      long version, long configurationVersion, Configuration configuration) {}

  /**
   * Replaces the configuration.
   *
   * @param requestId identifier that all resends share
   * @param expectedVersion the configuration version on which the change is based
   * @param configuration the configuration wanted
   */
  public record ConfigurationUpdate(
      String requestId, long expectedVersion, Configuration configuration) {

    /** Asserts that every component is set. */
    public ConfigurationUpdate {
      requireNonNull(requestId, "requestId");
      requireNonNull(configuration, "configuration");
    }
  }

  /**
   * Adds a key; the key itself stays with the operator.
   *
   * @param requestId identifier that all resends share
   * @param key the salted digest of the key
   */
  public record KeyAddition(String requestId, ApiKey key) {

    /** Asserts that every component is set. */
    public KeyAddition {
      requireNonNull(requestId, "requestId");
      requireNonNull(key, "key");
    }
  }

  /**
   * Removes a key or a VM.
   *
   * @param requestId identifier that all resends share
   * @param name the key id or the name of the VM
   */
  public record Removal(String requestId, String name) {

    /** Asserts that every component is set. */
    public Removal {
      requireNonNull(requestId, "requestId");
      requireNonNull(name, "name");
    }
  }

  /**
   * A key in use.
   *
   * @param id the public part of the key
   * @param customer the customer to whom it was given
   */
  public record KeyInfo(String id, String customer) {}

  /**
   * The keys in use.
   *
   * @param keys the keys, sorted by id
   */
  public record KeyList(List<KeyInfo> keys) {}

  /**
   * Sets whether a VM asks the balancer for no new connections.
   *
   * @param drained whether it does
   */
  public record DrainBody(boolean drained) {}

  /**
   * The results of recent changes.
   *
   * @param changes the results, oldest first
   */
  public record HistoryBody(List<ChangeRecord> changes) {}

  /**
   * Whether a version is in force everywhere.
   *
   * @param version the version of the view
   * @param inForce whether it is in force on every VM
   * @param waitingFor the VMs on which it may not be in force yet
   */
  public record InForceBody(long version, boolean inForce, List<String> waitingFor) {}

  /**
   * The state of the fleet as one VM sees it.
   *
   * @param vm the VM that answers
   * @param leader the control leader, if one answers
   * @param version the version of the view on this VM
   * @param configurationVersion the version of the configuration on this VM
   * @param leaseMillis for how long this VM's lease is still valid, in milliseconds
   * @param vms the VMs
   * @param databases the database groups
   */
  public record StatusBody(
      String vm,
      @Nullable String leader,
      long version,
      long configurationVersion,
      long leaseMillis,
      List<VmStatus> vms,
      List<DatabaseStatus> databases) {

    /**
     * Collects the state.
     *
     * @param vm the VM that answers
     * @param view its view
     * @param leaseMillis for how long its lease is still valid, in milliseconds
     * @param registry the backend servers that it knows
     * @param leader the control leader, if one answers
     * @param leaseHolders the VMs that hold a lease, according to the leader
     * @param now the present time on the VM's monotonic clock, in milliseconds
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
          vm, leader, view.version(), view.configurationVersion(), leaseMillis, vms, databases);
    }
  }

  /**
   * A VM of the fleet.
   *
   * @param name its name
   * @param failureDomain its failure domain
   * @param region its region
   * @param peerAddress its address for other VMs
   * @param holdsLease whether it holds a lease, according to the leader
   */
  public record VmStatus(
      String name, String failureDomain, String region, String peerAddress, boolean holdsLease) {}

  /**
   * A database group.
   *
   * @param name its name
   * @param term its term
   * @param primary its primary, if it has one
   * @param servers the servers that announced themselves
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
   * A backend server.
   *
   * @param name its name
   * @param address its address
   * @param failureDomain its failure domain
   * @param role the role that it states
   * @param term the term of its log
   * @param offset the end of its applied log
   * @param ageMillis how old its data is at most, in milliseconds
   * @param leaving whether it wants no new work
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
