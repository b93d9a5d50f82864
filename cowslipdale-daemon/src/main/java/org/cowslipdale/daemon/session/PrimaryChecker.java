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
 * Opens a new connection to a primary that seems to fail, and records whether that works.
 *
 * <p>A primary that answers nothing costs callers their time, so the check is repeated quickly, but
 * only one runs at a time for each database and only while there is a reason.
 */
public final class PrimaryChecker {

  /** Longer than a round trip between regions and the opening of a connection, in milliseconds. */
  private static final long CONNECT_TIMEOUT_MILLIS = 400;

  private static final long RETRY_DELAY_MILLIS = 100;
  private static final int MAX_ATTEMPTS = 4;

  /** The customer on whose behalf nothing runs. */
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
   * @param connector opens connections
   * @param evidence where results are recorded
   * @param clock the clocks of the VM
   * @param onChange runs when a primary has to be reported
   */
  public PrimaryChecker(
      ViewHolder views,
      BackendRegistry registry,
      SessionConnector connector,
      PrimaryTrafficMonitor evidence,
      VmClock clock,
      Runnable onChange) {
    this.views = requireNonNull(views, "views");
    this.registry = requireNonNull(registry, "registry");
    this.connector = requireNonNull(connector, "connector");
    this.trafficMonitor = requireNonNull(evidence, "evidence");
    this.clock = requireNonNull(clock, "clock");
    this.onSuspicion = requireNonNull(onChange, "onChange");
  }

  /**
   * Checks the primary of a database unless a check is under way.
   *
   * @param database the database
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
