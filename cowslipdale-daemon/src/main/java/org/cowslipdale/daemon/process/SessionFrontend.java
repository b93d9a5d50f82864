package org.cowslipdale.daemon.process;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cowslipdale.config.settings.DaemonSettings;
import org.cowslipdale.config.settings.Feature;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerBackoff;
import org.cowslipdale.core.backend.ServerCapacity;
import org.cowslipdale.core.backend.ServerHealth;
import org.cowslipdale.core.failover.PrimaryTrafficMonitor;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.CapacityPlacement;
import org.cowslipdale.core.routing.ReplicaLagTracker;
import org.cowslipdale.core.routing.SessionRouter;
import org.cowslipdale.daemon.adapter.Adapter;
import org.cowslipdale.daemon.adapter.DaemonServices;
import org.cowslipdale.daemon.adapter.Endpoint;
import org.cowslipdale.daemon.control.BackendAccess;
import org.cowslipdale.daemon.control.ControlPlane;
import org.cowslipdale.daemon.request.Reply;
import org.cowslipdale.daemon.request.TransactionStep;
import org.cowslipdale.daemon.session.PrimaryChecker;
import org.cowslipdale.daemon.session.SessionConnector;
import org.cowslipdale.daemon.session.SessionContext;
import org.cowslipdale.daemon.session.SessionPools;
import org.cowslipdale.daemon.session.SessionServer;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/** Serves callers' sessions with the protocol of an adapter. */
final class SessionFrontend implements CallerFrontend {

  /** Interval at which pools of servers that are no longer registered are closed. */
  private static final long CLEAN_UP_INTERVAL_MILLIS = 1_000;

  private final Vertx vertx;
  private final Adapter adapter;
  private final DaemonSettings settings;
  private final ViewHolder views;
  private final BackendRegistry registry;
  private final MeterRegistry meters;
  private final Readiness readiness;
  private final VmClock clock;
  private final ServerHealth health = new ServerHealth();
  private final PrimaryTrafficMonitor trafficMonitor = new PrimaryTrafficMonitor();
  private final ServerCapacity capacity = new ServerCapacity();
  private final ServerCapacityMetrics capacityMetrics;
  private final SessionConnector connector;
  private @Nullable SessionPools pools;
  private @Nullable SessionServer sessionServer;
  private List<Endpoint> endpoints = List.of();
  private long nextCleanUpMillis;

  SessionFrontend(
      Vertx vertx,
      Adapter adapter,
      DaemonSettings settings,
      ViewHolder views,
      BackendRegistry registry,
      MeterRegistry meters,
      Readiness readiness,
      VmClock clock) {
    this.vertx = requireNonNull(vertx, "vertx");
    this.adapter = requireNonNull(adapter, "adapter");
    this.settings = requireNonNull(settings, "settings");
    this.views = requireNonNull(views, "views");
    this.registry = requireNonNull(registry, "registry");
    this.meters = requireNonNull(meters, "meters");
    this.readiness = requireNonNull(readiness, "readiness");
    this.clock = requireNonNull(clock, "clock");
    this.capacityMetrics = new ServerCapacityMetrics(capacity, meters);
    this.connector = adapter.sessionConnector(vertx, settings);
  }

  @Override
  public BackendAccess backendAccess() {
    return new BackendAccess.External(
        adapter.statusClient(vertx, settings),
        adapter.promotionService(vertx, settings),
        trafficMonitor);
  }

  @Override
  public void initialize(ControlPlane control) {
    SessionPools sessionPools =
        new SessionPools(
            connector,
            clock,
            settings.limits().maxQueued(),
            health,
            control.connectionPermits(server -> pools().closeIdle(server)));
    pools = sessionPools;
    ReplicaLagTracker lagTracker = new ReplicaLagTracker();
    ServerBackoff backoff = new ServerBackoff(new Random());
    Set<Feature> features = adapter.features(settings);
    CapacityPlacement placement =
        features.contains(Feature.ADAPTIVE_CAPACITY)
            ? new CapacityPlacement(
                settings.vm().name(),
                settings.vm().failureDomain(),
                settings.vm().region(),
                sessionPools,
                backoff,
                capacity)
            : null;
    SessionContext context =
        new SessionContext(
            views,
            registry,
            health,
            new SessionRouter(
                settings.vm().name(),
                settings.vm().failureDomain(),
                settings.vm().region(),
                sessionPools,
                lagTracker,
                backoff,
                settings.writeFencing(),
                placement),
            sessionPools,
            lagTracker,
            control.positions(),
            backoff,
            trafficMonitor,
            control.rateLimiter(),
            clock,
            features);
    PrimaryChecker checker =
        new PrimaryChecker(views, registry, connector, trafficMonitor, clock, control::renewLease);
    SessionServer server = new SessionServer(context, checker);
    Gauge.builder("cowslipdale.sessions.open", server, s -> s.openCount())
        .description("Sessions of callers that are open")
        .register(meters);
    Gauge.builder("cowslipdale.sessions.busy", server, s -> s.busyCount())
        .description("Sessions with a statement or a transaction in progress")
        .register(meters);
    sessionServer = server;
    endpoints =
        adapter.endpoints(vertx, settings, new DaemonServices(server, control, readiness::isReady));
  }

  @Override
  public Reply runTransactionStep(TransactionStep step) {
    return new Reply(ResultCode.TRANSACTION_NOT_FOUND.httpStatus(), "{}", null);
  }

  @Override
  public void start() throws CowslipException {
    for (Endpoint endpoint : endpoints) {
      LifecycleWaits.awaitBound(endpoint.start(), endpoint.address());
    }
  }

  @Override
  public void tick(long now) {
    pools().tick(now);
    if (now >= nextCleanUpMillis) {
      nextCleanUpMillis = now + CLEAN_UP_INTERVAL_MILLIS;
      if (!readiness.canServe()) {
        sessionServer().closeIdle();
      }
      Set<String> registeredServers = new HashSet<>();
      registry
          .databases()
          .forEach(
              database -> registeredServers.addAll(registry.group(database).servers().keySet()));
      pools().retain(registeredServers);
      capacity.retain(registeredServers);
      capacityMetrics.update();
    }
  }

  @Override
  public void drain() {
    sessionServer().drain();
  }

  @Override
  public void endTransactions() {
    sessionServer().abortTransactions();
  }

  @Override
  public void endRequests() {
    sessionServer().endStatements();
  }

  @Override
  public boolean isBusy() {
    return sessionServer().openCount() > 0;
  }

  @Override
  public Future<Void> stop() {
    return Future.all(endpoints.stream().map(Endpoint::stop).toList()).mapEmpty();
  }

  @Override
  public void close() {
    if (pools != null) {
      pools.close();
    }
  }

  private SessionPools pools() {
    return requireNonNull(pools, "pools");
  }

  private SessionServer sessionServer() {
    return requireNonNull(sessionServer, "sessions");
  }
}
