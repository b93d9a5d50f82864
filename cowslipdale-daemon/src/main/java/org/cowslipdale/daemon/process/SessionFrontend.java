package org.cowslipdale.daemon.process;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.FunctionCounter;
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
import org.cowslipdale.core.admission.QueuePolicy;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.BackoffPolicy;
import org.cowslipdale.core.backend.PriorityBackoff;
import org.cowslipdale.core.backend.ServerBackoff;
import org.cowslipdale.core.backend.ServerCapacity;
import org.cowslipdale.core.backend.ServerHealth;
import org.cowslipdale.core.failover.PrimaryTrafficMonitor;
import org.cowslipdale.core.placement.ColdStartLimit;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.CapacityPlacement;
import org.cowslipdale.core.routing.ReplicaLagTracker;
import org.cowslipdale.core.routing.SessionRouter;
import org.cowslipdale.daemon.adapter.Adapter;
import org.cowslipdale.daemon.adapter.DaemonServices;
import org.cowslipdale.daemon.adapter.Endpoint;
import org.cowslipdale.daemon.client.ClientGuard;
import org.cowslipdale.daemon.control.BackendAccess;
import org.cowslipdale.daemon.control.ControlPlane;
import org.cowslipdale.daemon.request.Reply;
import org.cowslipdale.daemon.request.TransactionStep;
import org.cowslipdale.daemon.session.ConnectionSource;
import org.cowslipdale.daemon.session.GatewayConnections;
import org.cowslipdale.daemon.session.GatewayService;
import org.cowslipdale.daemon.session.PlacementCounters;
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
  private final ClientGuard guard;
  private final ServerCapacity capacity = new ServerCapacity();
  private final ServerCapacityMetrics capacityMetrics;
  private final SessionConnector connector;
  private final ColdStartLimit coldStartLimit;
  private @Nullable SessionPools pools;
  private @Nullable SessionServer sessionServer;
  private @Nullable GatewayService gatewayService;
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
      VmClock clock,
      ClientGuard guard) {
    this.vertx = requireNonNull(vertx, "vertx");
    this.adapter = requireNonNull(adapter, "adapter");
    this.settings = requireNonNull(settings, "settings");
    this.views = requireNonNull(views, "views");
    this.registry = requireNonNull(registry, "registry");
    this.meters = requireNonNull(meters, "meters");
    this.readiness = requireNonNull(readiness, "readiness");
    this.clock = requireNonNull(clock, "clock");
    this.coldStartLimit = new ColdStartLimit(settings.vm().name());
    this.capacityMetrics = new ServerCapacityMetrics(capacity, meters);
    this.guard = requireNonNull(guard, "guard");
    this.connector = adapter.sessionConnector(vertx, settings, guard);
  }

  @Override
  public BackendAccess backendAccess() {
    return new BackendAccess.External(
        adapter.statusClient(vertx, settings, guard),
        adapter.promotionService(vertx, settings),
        trafficMonitor);
  }

  @Override
  public void initialize(ControlPlane control) {
    Set<Feature> features = adapter.features(settings);
    SessionPools sessionPools =
        new SessionPools(
            connector,
            clock,
            features.contains(Feature.PRIORITY_ADMISSION)
                ? new QueuePolicy.Priority()
                : new QueuePolicy.Fair(),
            settings.limits().maxQueued(),
            health,
            control.connectionPermits(server -> pools().closeIdle(server)));
    pools = sessionPools;
    ConnectionMeters.register(meters, sessionPools.usage());
    ConnectionSource connections =
        features.contains(Feature.CONNECTION_GATEWAYS)
            ? createGatewayConnections(control, sessionPools)
            : sessionPools;
    ReplicaLagTracker lagTracker = new ReplicaLagTracker();
    PlacementCounters placementCounters = new PlacementCounters();
    placementCounters.register(meters, coldStartLimit);
    BackoffPolicy backoff =
        features.contains(Feature.PRIORITY_ADMISSION)
            ? new PriorityBackoff(new Random())
            : new ServerBackoff(new Random());
    CapacityPlacement placement =
        features.contains(Feature.ADAPTIVE_CAPACITY)
            ? new CapacityPlacement(
                settings.vm().name(),
                settings.vm().failureDomain(),
                settings.vm().region(),
                connections,
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
                connections,
                lagTracker,
                backoff,
                settings.writeFencing(),
                placement),
            connections,
            lagTracker,
            control.positions(),
            backoff,
            trafficMonitor,
            control.rateLimiter(),
            clock,
            coldStartLimit,
            placementCounters,
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
    FunctionCounter.builder("cowslipdale.admission.refused", server, s -> s.refusedCount())
        .description("Statements that admission by priority refused without running them")
        .register(meters);
    ConnectionMeters.register(meters, server.waits());
    sessionServer = server;
    endpoints =
        adapter.endpoints(
            vertx, settings, new DaemonServices(server, control, readiness::isReady, guard));
  }

  /** Makes this VM a gateway of other VMs, and returns connections that use gateways. */
  private GatewayConnections createGatewayConnections(
      ControlPlane control, SessionPools sessionPools) {
    GatewayService service = new GatewayService(sessionPools, views, registry, clock);
    gatewayService = service;
    control.setGatewayHandler(service);
    ConnectionMeters.register(meters, service);
    GatewayConnections connections =
        new GatewayConnections(
            settings.vm().name(),
            settings.vm().failureDomain(),
            sessionPools,
            control.gatewayLink(),
            clock);
    ConnectionMeters.register(meters, connections.metrics());
    return connections;
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
    if (gatewayService != null) {
      gatewayService.tick(now);
    }
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
      coldStartLimit.retain(registeredServers);
      capacity.retain(registeredServers);
      capacityMetrics.update();
    }
  }

  @Override
  public void drain() {
    sessionServer().drain();
    if (gatewayService != null) {
      gatewayService.drain();
    }
  }

  @Override
  public void endTransactions() {
    sessionServer().abortTransactions();
    if (gatewayService != null) {
      gatewayService.endTransactions();
    }
  }

  @Override
  public void endRequests() {
    sessionServer().endStatements();
  }

  @Override
  public boolean isBusy() {
    return sessionServer().openCount() > 0 || (gatewayService != null && gatewayService.isBusy());
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
