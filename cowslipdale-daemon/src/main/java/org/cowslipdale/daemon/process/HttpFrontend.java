package org.cowslipdale.daemon.process;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.cowslipdale.config.settings.DaemonSettings;
import org.cowslipdale.core.admission.RetryBudget;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerHealth;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.routing.DefaultRouter;
import org.cowslipdale.core.routing.Router;
import org.cowslipdale.daemon.connection.BackendPools;
import org.cowslipdale.daemon.connection.DatabaseConnector;
import org.cowslipdale.daemon.connection.HttpDatabaseConnector;
import org.cowslipdale.daemon.control.BackendAccess;
import org.cowslipdale.daemon.control.ControlPlane;
import org.cowslipdale.daemon.request.Backends;
import org.cowslipdale.daemon.request.Reply;
import org.cowslipdale.daemon.request.RequestPipeline;
import org.cowslipdale.daemon.request.TransactionStep;
import org.cowslipdale.daemon.telemetry.RequestMetrics;
import org.cowslipdale.daemon.telemetry.Tracing;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/** Serves callers' requests over HTTP. */
final class HttpFrontend implements CallerFrontend {

  private final Vertx vertx;
  private final DaemonSettings settings;
  private final ViewHolder views;
  private final BackendRegistry registry;
  private final MeterRegistry meters;
  private final Tracing tracing;
  private final VmClock clock;
  private final ServerHealth health = new ServerHealth();
  private final DatabaseConnector connector;
  private final BackendPools pools;
  private @Nullable RequestPipeline requestPath;

  HttpFrontend(
      Vertx vertx,
      DaemonSettings settings,
      ViewHolder views,
      BackendRegistry registry,
      MeterRegistry meters,
      Tracing tracing,
      VmClock clock) {
    this.vertx = requireNonNull(vertx, "vertx");
    this.settings = requireNonNull(settings, "settings");
    this.views = requireNonNull(views, "views");
    this.registry = requireNonNull(registry, "registry");
    this.meters = requireNonNull(meters, "meters");
    this.tracing = requireNonNull(tracing, "tracing");
    this.clock = requireNonNull(clock, "clock");
    this.connector = new HttpDatabaseConnector(vertx, settings::translate);
    this.pools =
        new BackendPools(
            connector, clock, settings.policy().queue(), settings.limits().maxQueued(), health);
  }

  @Override
  public BackendAccess backendAccess() {
    return new BackendAccess.Direct(connector);
  }

  @Override
  public void initialize(ControlPlane control) {
    Router router =
        new DefaultRouter(
            settings.vm().failureDomain(),
            settings.vm().region(),
            settings.policy().routing(),
            pools);
    Backends backends = new Backends(registry, health, router, pools, connector, new RetryBudget());
    RequestPipeline path =
        new RequestPipeline(
            vertx,
            settings,
            views,
            backends,
            control.rateLimiter(),
            control.requestClaims(),
            control.transactionForwarder(),
            tracing,
            new RequestMetrics(meters),
            clock);
    Gauge.builder("cowslipdale.requests.in.progress", path.server(), s -> s.inProgress())
        .description("Requests of callers being served")
        .register(meters);
    Gauge.builder("cowslipdale.transactions.open", path, r -> r.openTransactions())
        .description("Open transactions that this VM holds")
        .register(meters);
    requestPath = path;
  }

  @Override
  public Reply runTransactionStep(TransactionStep step) {
    return requestPath().runStep(step);
  }

  @Override
  public void start() throws CowslipException {
    if (settings.listen().callers().isPresent()) {
      LifecycleWaits.awaitBound(requestPath().server().start(), settings.listen().callers().get());
    }
  }

  @Override
  public void tick(long now) {
    pools.tick(now);
    requestPath().expireTransactions(now);
  }

  @Override
  public void drain() {
    requestPath().server().drain();
  }

  @Override
  public void endTransactions() {
    // A transaction over HTTP ends at its own time limit. The shutdown waits for open transactions
    // up to the drain limit.
  }

  @Override
  public void endRequests() {
    requestPath().server().endRequests();
  }

  @Override
  public boolean isBusy() {
    return requestPath().server().isBusy() || requestPath().openTransactions() > 0;
  }

  @Override
  public Future<Void> stop() {
    return requestPath().server().stop();
  }

  @Override
  public void close() {
    pools.close();
  }

  private RequestPipeline requestPath() {
    return requireNonNull(requestPath, "requests");
  }
}
