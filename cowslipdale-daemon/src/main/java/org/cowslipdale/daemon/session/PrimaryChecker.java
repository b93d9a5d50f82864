package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.failover.PrimaryTrafficMonitor;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.connection.ServerRef;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.cowslipdale.daemon.version.CurrentView;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;

/**
 * Checks a primary that appears to have failed by opening new connections to it, and records the
 * results.
 *
 * <p>Statements are delayed while the primary does not respond, so the attempts of a check follow
 * each other quickly. Only one check runs at a time for each database, and only after a connection
 * to the primary failed.
 */
public final class PrimaryChecker {

  /**
   * The connect timeout in milliseconds: longer than a round trip between regions plus the opening
   * of a connection.
   */
  private static final long CONNECT_TIMEOUT_MILLIS = 400;

  private static final long RETRY_DELAY_MILLIS = 100;
  private static final int MAX_ATTEMPTS = 4;

  /** The customer name for connections on which no statement runs. */
  private static final String NO_CUSTOMER = "-";

  private final ViewHolder views;
  private final BackendRegistry registry;
  private final SessionConnector connector;
  private final PrimaryTrafficMonitor trafficMonitor;
  private final VmClock clock;
  private final Runnable onSuspicion;
  private final Map<String, Boolean> runningChecks = new ConcurrentHashMap<>();

  /**
   * Creates a checker.
   *
   * @param views the current view
   * @param registry the backend servers that announced themselves
   * @param connector the connector that opens connections
   * @param trafficMonitor the monitor that records the results
   * @param clock the VM's clock
   * @param onSuspicion called when a primary is first reported as unreachable
   */
  public PrimaryChecker(
      ViewHolder views,
      BackendRegistry registry,
      SessionConnector connector,
      PrimaryTrafficMonitor trafficMonitor,
      VmClock clock,
      Runnable onSuspicion) {
    this.views = requireNonNull(views, "views");
    this.registry = requireNonNull(registry, "registry");
    this.connector = requireNonNull(connector, "connector");
    this.trafficMonitor = requireNonNull(trafficMonitor, "trafficMonitor");
    this.clock = requireNonNull(clock, "clock");
    this.onSuspicion = requireNonNull(onSuspicion, "onSuspicion");
  }

  /**
   * Starts a check of the primary of a database unless one is already running.
   *
   * @param database the name of the database
   */
  public void check(String database) {
    if (runningChecks.putIfAbsent(database, true) == null) {
      Thread.startVirtualThread(
          () -> {
            try {
              checkRepeatedly(database);
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            } finally {
              runningChecks.remove(database);
            }
          });
    }
  }

  private void checkRepeatedly(String database) throws InterruptedException {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      CurrentView current = views.get();
      DatabaseState state = current.view().database(database);
      Optional<BackendServer> primary =
          state.primary() == null
              ? Optional.empty()
              : registry.group(database).server(state.primary());
      if (primary.isEmpty()) {
        return;
      }
      if (canConnect(ServerRef.of(primary.get().announcement()))) {
        trafficMonitor.recordAnswer(database, state.term(), clock.millis());
        return;
      }
      if (trafficMonitor.recordFailure(database, state.term(), clock.millis())) {
        DecisionLog.line(LogEvent.PRIMARY_SUSPECTED)
            .with("database", database)
            .with("server", primary.get().name())
            .with("view_term", state.term())
            .with(
                "answered_ago_ms",
                clock.millis() - trafficMonitor.lastAnswerMillis(database, state.term()))
            .write();
        onSuspicion.run();
      }
      Thread.sleep(RETRY_DELAY_MILLIS);
    }
  }

  private boolean canConnect(ServerRef server) {
    try (ServerConnection connection =
        connector.connect(server, NO_CUSTOMER, CONNECT_TIMEOUT_MILLIS)) {
      return connection.isUsable();
    } catch (BackendException e) {
      return e.failure().isPresent();
    }
  }
}
