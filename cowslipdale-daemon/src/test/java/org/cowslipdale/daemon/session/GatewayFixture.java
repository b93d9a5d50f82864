package org.cowslipdale.daemon.session;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.cowslipdale.config.settings.Feature;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerBackoff;
import org.cowslipdale.core.backend.ServerHealth;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.failover.PrimaryTrafficMonitor;
import org.cowslipdale.core.permit.HeldPermits;
import org.cowslipdale.core.placement.ColdStartLimit;
import org.cowslipdale.core.placement.Gateways;
import org.cowslipdale.core.routing.FleetPositions;
import org.cowslipdale.core.routing.ReplicaLagTracker;
import org.cowslipdale.core.routing.SessionRouter;
import org.cowslipdale.core.routing.WriteFencing;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Configuration;
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
 * The VMs {@code vm1}, {@code vm2} and {@code vm3} of one failure domain with their own pools, in
 * front of two in-process servers of the database {@code bonds}: the primary {@code bonds-1} and
 * the replica {@code bonds-2}. Each VM may open two connections to a server, so that it needs
 * gateways.
 */
final class GatewayFixture implements AutoCloseable {

  static final int SHARE = 2;

  /** The customer of sessions without a key. */
  static final String CUSTOMER = "-";

  /** The name of an open route to the database with the latest freshness. */
  static final String OPEN_ROUTE = "open-route";

  private static final long LIMIT_MILLIS = 1_500;

  private static final int VMS = 3;
  private static final int RESERVED_CONNECTIONS = 2;
  private static final long TRANSACTION_IDLE_MILLIS = 600;

  private final VmClock clock = new VmClock();
  private final BackendRegistry registry = new BackendRegistry(60_000);
  private final FakeServers servers = new FakeServers();
  private final ViewHolder views = new ViewHolder(clock.millis());
  private final Map<String, Vm> vms = new LinkedHashMap<>();
  private final Thread ticker = Thread.startVirtualThread(this::tick);

  /** The pools of one VM and its service as a gateway. */
  record Vm(String name, SessionPools pools, GatewayService service) {}

  GatewayFixture() {
    views.publish(view(), clock.millis() + 60_000, VMS, clock.millis());
    announce("bonds-1", ServerRole.PRIMARY);
    announce("bonds-2", ServerRole.REPLICA);
    IntStream.rangeClosed(1, VMS).mapToObj(i -> "vm" + i).forEach(this::addVm);
  }

  VmClock clock() {
    return clock;
  }

  FakeServers servers() {
    return servers;
  }

  ViewHolder views() {
    return views;
  }

  Vm vm(String name) {
    return vms.get(name);
  }

  /** Returns the gateway of {@link #CUSTOMER} and its fallback. */
  List<String> gateways() {
    Gateways.Key key = new Gateways.Key(CUSTOMER, "bonds", "a");
    return Gateways.candidates(key, views.get().view().vms().values()).stream()
        .map(VmRecord::name)
        .toList();
  }

  /** Returns the VM that is neither the gateway of {@link #CUSTOMER} nor its fallback. */
  Vm requester() {
    return vms.values().stream()
        .filter(vm -> !gateways().contains(vm.name()))
        .findFirst()
        .orElseThrow();
  }

  /** Returns the components of a VM that uses gateways. */
  SessionContext context(Vm vm, GatewayLink link) {
    GatewayConnections connections =
        new GatewayConnections(vm.name(), "a", vm.pools(), link, clock);
    ReplicaLagTracker lagTracker = new ReplicaLagTracker();
    ServerBackoff backoff = new ServerBackoff(new Random());
    WriteFencing fencing = WriteFencing.BY_SERVERS;
    return new SessionContext(
        views,
        registry,
        new ServerHealth(),
        new SessionRouter(vm.name(), "a", "r", connections, lagTracker, backoff, fencing),
        connections,
        lagTracker,
        new FleetPositions(),
        backoff,
        new PrimaryTrafficMonitor(),
        new UnlimitedRates(),
        clock,
        new ColdStartLimit(vm.name()),
        new PlacementCounters(),
        Set.of(Feature.CONNECTION_GATEWAYS));
  }

  PrimaryChecker checker(SessionContext context) {
    return new PrimaryChecker(views, registry, servers, context.trafficMonitor(), clock, () -> {});
  }

  private static final class UnlimitedRates implements RateLimiter {

    @Override
    public void acquire(String customer, long deadlineMillis) {}

    @Override
    public void returnToken(String customer) {}
  }

  /** Waits until a condition holds, for a few seconds at most; returns whether it holds. */
  static boolean await(BooleanSupplier condition) {
    for (int i = 0; i < 1_000 && !condition.getAsBoolean(); i++) {
      SessionFixture.pause(5);
    }
    return condition.getAsBoolean();
  }

  @Override
  public void close() {
    ticker.interrupt();
    try {
      ticker.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    vms.values().forEach(vm -> vm.pools().close());
  }

  private void addVm(String name) {
    SessionPools pools =
        new SessionPools(servers, clock, 1_000, new ServerHealth(), new ShareOnlyPermits());
    vms.put(name, new Vm(name, pools, new GatewayService(pools, views, registry, clock)));
  }

  private void tick() {
    while (!Thread.currentThread().isInterrupted()) {
      vms.values()
          .forEach(
              vm -> {
                vm.pools().tick(clock.millis());
                vm.service().tick(clock.millis());
              });
      SessionFixture.pause(10);
    }
  }

  private void announce(String server, ServerRole role) {
    registry.addAnnouncement(
        new Announcement(
            "bonds", server, "address", "a", "r", role, LogPosition.ZERO, 0, 5, 30, false, 1, 1),
        0,
        clock.millis());
  }

  private static View view() {
    Configuration configuration =
        new Configuration(
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of("bonds", new Database("bonds", 2, SHARE * VMS + RESERVED_CONNECTIONS, 0)),
            Map.of(
                OPEN_ROUTE,
                new SessionRoute(
                    OPEN_ROUTE,
                    "bonds",
                    new Freshness.Latest(),
                    LIMIT_MILLIS,
                    LIMIT_MILLIS,
                    1,
                    true)),
            TRANSACTION_IDLE_MILLIS);
    View view =
        View.EMPTY
            .apply(
                new ViewCommand.ReplaceConfiguration(
                    new DeclaredDocument(1, "{}"), configuration, List.of()))
            .view();
    for (int i = 1; i <= VMS; i++) {
      VmRecord vm = new VmRecord("vm" + i, "a", "r", "address" + i, 0, Long.MAX_VALUE, true);
      view = view.apply(new ViewCommand.RegisterVm(vm, 0)).view();
    }
    return view.apply(new ViewCommand.BeginTerm("bonds", 1))
        .view()
        .apply(new ViewCommand.CompleteTerm("bonds", 1, "bonds-1", 0))
        .view();
  }

  /** Permits of a VM that may open its share of connections to every server and no more. */
  private static final class ShareOnlyPermits implements ConnectionPermits {

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
      SessionFixture.pause(10);
      return PermitResult.REFUSED;
    }
  }
}
