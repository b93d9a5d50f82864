package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipdale.config.protocol.ServerStatus;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.failover.PrimaryProbeMonitor;
import org.cowslipdale.core.failover.ProbeAssignment;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.View;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.connection.DatabaseConnector;
import org.cowslipdale.daemon.connection.ServerRef;
import org.cowslipdale.daemon.version.ViewHolder;

/**
 * Probes the primaries that are assigned to this VM, each over a new connection.
 *
 * <p>All methods run on the control thread.
 */
final class Prober {

  private final String vm;
  private final ViewHolder views;
  private final BackendRegistry registry;
  private final DatabaseConnector connector;
  private final PrimaryProbeMonitor probe;
  private final ControlThread control;
  private final Runnable onChange;
  private List<String> assignedDatabases = List.of();
  private long assignmentVersion = -1;

  Prober(
      String vm,
      ViewHolder views,
      BackendRegistry registry,
      DatabaseConnector connector,
      PrimaryProbeMonitor probe,
      ControlThread control,
      Runnable onChange) {
    this.vm = requireNonNull(vm, "vm");
    this.views = requireNonNull(views, "views");
    this.registry = requireNonNull(registry, "registry");
    this.connector = requireNonNull(connector, "connector");
    this.probe = requireNonNull(probe, "probe");
    this.control = requireNonNull(control, "control");
    this.onChange = requireNonNull(onChange, "onChange");
  }

  /** Starts one round of probes. */
  void probeAll() {
    View view = views.get().view();
    if (view.version() != assignmentVersion) {
      assignedDatabases = findAssignedDatabases(view);
      assignmentVersion = view.version();
      probe.retainDatabases(assignedDatabases);
    }
    for (String database : assignedDatabases) {
      DatabaseState state = view.database(database);
      if (state.primary() != null) {
        probe(database, state.term(), state.primary());
      }
    }
  }

  private List<String> findAssignedDatabases(View view) {
    List<String> databases = new ArrayList<>();
    for (String database : view.configuration().databases().keySet()) {
      if (ProbeAssignment.probers(view, database).contains(vm)) {
        databases.add(database);
      }
    }
    return databases;
  }

  private void probe(String database, long term, String primary) {
    Optional<BackendServer> server = registry.group(database).server(primary);
    if (server.isEmpty()) {
      record(database, term, false);
      return;
    }
    ServerRef target = ServerRef.of(server.get().announcement());
    Thread.startVirtualThread(
        () -> {
          boolean healthy = isPrimary(target, term);
          control.execute(() -> record(database, term, healthy));
        });
  }

  private boolean isPrimary(ServerRef server, long term) {
    try {
      ServerStatus status = connector.status(server, PrimaryProbeMonitor.TIMEOUT_MILLIS);
      return status.role() == ServerRole.PRIMARY && status.term() == term;
    } catch (BackendException e) {
      return false;
    }
  }

  private void record(String database, long term, boolean healthy) {
    if (probe.recordResult(database, term, healthy)) {
      onChange.run();
    }
  }
}
