package org.cowslipdale.daemon.session;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cowslipdale.config.settings.Feature;
import org.cowslipdale.core.admission.QueuePolicy;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.BackoffPolicy;
import org.cowslipdale.core.backend.PriorityBackoff;
import org.cowslipdale.core.backend.ServerBackoff;
import org.cowslipdale.core.backend.ServerHealth;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.failover.PrimaryTrafficMonitor;
import org.cowslipdale.core.permit.HeldPermits;
import org.cowslipdale.core.placement.ColdStartLimit;
import org.cowslipdale.core.routing.FleetPositions;
import org.cowslipdale.core.routing.ReplicaLagTracker;
import org.cowslipdale.core.routing.SessionRouter;
import org.cowslipdale.core.routing.WriteFencing;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Customer;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.DeclaredDocument;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.SessionRoute;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.cowslipdale.daemon.request.RateLimiter;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;

/**
 * The components of the only VM of a fleet, in front of two in-process servers of the database
 * {@code bonds}: the primary {@code bonds-1} and the replica {@code bonds-2}.
 */
final class SessionFixture implements AutoCloseable {

  /** The name of an open route to the database with the latest freshness. */
  static final String OPEN_ROUTE = "open-route";

  private static final long LIMIT_MILLIS = 2_000;

  /**
   * The pool leaves two of a server's connections for queries of its state, so two remain for
   * statements.
   */
  private static final int CONNECTION_LIMIT = 4;

  private final VmClock clock = new VmClock();
  private final BackendRegistry registry = new BackendRegistry(60_000);
  private final FakeServers servers = new FakeServers();
  private final ServerHealth health = new ServerHealth();
  private final Set<Feature> features;
  private final SessionPools pools;
  private final Thread poolTicker;

  SessionFixture() {
    this(Set.of());
  }

  SessionFixture(Set<Feature> features) {
    this.features = features;
    QueuePolicy policy =
        features.contains(Feature.PRIORITY_ADMISSION)
            ? new QueuePolicy.Priority()
            : new QueuePolicy.Fair();
    pools = new SessionPools(servers, clock, policy, 100, health, new SingleVmPermits());
    poolTicker = Thread.startVirtualThread(this::tickPools);
    announce("bonds-1", ServerRole.PRIMARY);
    announce("bonds-2", ServerRole.REPLICA);
  }

  /**
   * Permits of a VM that may open its share of connections to every server; no permit is ever
   * granted beyond that.
   */
  private static final class SingleVmPermits implements ConnectionPermits {

    private final HeldPermits permits = new HeldPermits(1);

    @Override
    public boolean tryUse(String server, int share) {
      return permits.tryUse(server, share);
    }

    @Override
    public void recordClosed(String server) {
      permits.recordClosed(server);
    }

    @Override
    public boolean mustClose(String server, int share) {
      return permits.isExceeded(server, share);
    }

    @Override
    public PermitResult requestPermit(String server, int capacity) {
      pause(10);
      return PermitResult.REFUSED;
    }
  }

  VmClock clock() {
    return clock;
  }

  FakeServers servers() {
    return servers;
  }

  /** Returns a holder of the view with a lease. */
  ViewHolder viewsWithLease(long leaseMillis) {
    ViewHolder views = new ViewHolder(clock.millis());
    views.publish(view(), clock.millis() + leaseMillis, 1, clock.millis());
    return views;
  }

  SessionContext context(ViewHolder views, WriteFencing writeFencing, RateLimiter limiter) {
    ReplicaLagTracker lagTracker = new ReplicaLagTracker();
    BackoffPolicy backoff =
        features.contains(Feature.PRIORITY_ADMISSION)
            ? new PriorityBackoff(new Random())
            : new ServerBackoff(new Random());
    return new SessionContext(
        views,
        registry,
        health,
        new SessionRouter("vm1", "a", "r", pools, lagTracker, backoff, writeFencing),
        pools,
        lagTracker,
        new FleetPositions(),
        backoff,
        new PrimaryTrafficMonitor(),
        limiter,
        clock,
        new ColdStartLimit("vm1"),
        new PlacementCounters(),
        features);
  }

  PrimaryChecker checker(SessionContext context) {
    return new PrimaryChecker(
        context.views(), registry, servers, context.trafficMonitor(), clock, () -> {});
  }

  @Override
  public void close() {
    poolTicker.interrupt();
    try {
      poolTicker.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    pools.close();
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void tickPools() {
    while (!Thread.currentThread().isInterrupted()) {
      pools.tick(clock.millis());
      pause(10);
    }
  }

  private void announce(String server, ServerRole role) {
    registry.addAnnouncement(
        new Announcement(
            "bonds", server, "address", "a", "r", role, LogPosition.ZERO, 0, 5, 30, false, 1, 1),
        0,
        clock.millis());
  }

  /** Publishes a configuration in which commits wait for synchronous replicas. */
  void replicateSynchronously(ViewHolder views, int synchronousReplicas) {
    Database database = new Database("bonds", 2, CONNECTION_LIMIT, synchronousReplicas);
    views.publish(withDatabase(views.get().view(), database), Long.MIN_VALUE, 1, clock.millis());
  }

  private static View withDatabase(View view, Database database) {
    Configuration configuration =
        new Configuration(
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of("bonds", database),
            view.configuration().sessionRoutes(),
            30_000);
    DeclaredDocument document = new DeclaredDocument(view.document().version() + 1, "{}");
    return view.apply(new ViewCommand.ReplaceConfiguration(document, configuration, List.of()))
        .view();
  }

  /** Makes all servers cold, and registers VMs of which this one is the first. */
  void limitColdServers(ViewHolder views, double requestsPerSecond, int vms) {
    Database database = new Database("bonds", 2, CONNECTION_LIMIT, 0, 60_000, requestsPerSecond);
    View view = withDatabase(views.get().view(), database);
    for (int i = 1; i <= vms; i++) {
      VmRecord vm = new VmRecord("vm" + i, "a", "r", "address", 0, 0, true);
      view = view.apply(new ViewCommand.RegisterVm(vm, 0)).view();
    }
    views.publish(view, Long.MIN_VALUE, 1, clock.millis());
  }

  /** Publishes a configuration that restricts the route {@code name} to regions. */
  void restrictRoute(ViewHolder views, String name, Set<String> regions) {
    View view = views.get().view();
    SessionRoute route =
        new SessionRoute(
            name, "bonds", new Freshness.Latest(), LIMIT_MILLIS, LIMIT_MILLIS, 1, true, regions);
    Configuration configuration =
        new Configuration(
            Map.of(),
            Map.of("acme", new Customer("acme", 1, 1, Set.of())),
            Map.of(),
            view.configuration().databases(),
            Map.of(name, route),
            30_000);
    DeclaredDocument document = new DeclaredDocument(view.document().version() + 1, "{}");
    views.publish(
        view.apply(new ViewCommand.ReplaceConfiguration(document, configuration, List.of())).view(),
        Long.MIN_VALUE,
        1,
        clock.millis());
  }

  private static View view() {
    SessionRoute openRoute =
        new SessionRoute(
            OPEN_ROUTE, "bonds", new Freshness.Latest(), LIMIT_MILLIS, LIMIT_MILLIS, 1, true);
    Configuration configuration =
        new Configuration(
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of("bonds", new Database("bonds", 2, CONNECTION_LIMIT, 0)),
            Map.of(OPEN_ROUTE, openRoute),
            30_000);
    DeclaredDocument document = new DeclaredDocument(1, "{}");
    return View.EMPTY
        .apply(new ViewCommand.ReplaceConfiguration(document, configuration, List.of()))
        .view()
        .apply(new ViewCommand.BeginTerm("bonds", 1))
        .view()
        .apply(new ViewCommand.CompleteTerm("bonds", 1, "bonds-1", 0))
        .view();
  }
}
