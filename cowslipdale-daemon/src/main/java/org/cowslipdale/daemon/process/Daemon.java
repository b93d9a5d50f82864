package org.cowslipdale.daemon.process;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.system.ProcessorMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.cowslipdale.config.settings.DaemonSettings;
import org.cowslipdale.core.admission.RetryBudget;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerHealth;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.DefaultRouter;
import org.cowslipdale.core.routing.Router;
import org.cowslipdale.core.view.VmRecord;
import org.cowslipdale.daemon.connection.BackendPools;
import org.cowslipdale.daemon.connection.DatabaseConnector;
import org.cowslipdale.daemon.connection.HttpDatabaseConnector;
import org.cowslipdale.daemon.control.ControlPlane;
import org.cowslipdale.daemon.peer.PeerNetwork;
import org.cowslipdale.daemon.request.Backends;
import org.cowslipdale.daemon.request.RequestPath;
import org.cowslipdale.daemon.storage.ControlStore;
import org.cowslipdale.daemon.telemetry.RequestMetrics;
import org.cowslipdale.daemon.telemetry.Tracing;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A running daemon: wires all parts together, starts them, and stops them gracefully. */
final class Daemon implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
  private static final long START_TIMEOUT_SECONDS = 20;
  private static final long QUEUE_TICK_MILLIS = 10;
  private static final long DRAIN_POLL_MILLIS = 20;

  private final DaemonSettings settings;
  private final VmClock clock = new VmClock();
  private final Vertx vertx;
  private final Tracing tracing;
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final ViewHolder views;
  private final BackendRegistry registry = new BackendRegistry();
  private final BackendPools pools;
  private final @Nullable ControlStore store;
  private final ControlPlane control;
  private final RequestPath requests;
  private final Readiness readiness;
  private final AdminServer admin;

  /**
   * Wires a daemon.
   *
   * @param settings the checked settings
   * @throws CowslipException if the data folder cannot be used
   */
  Daemon(DaemonSettings settings) throws CowslipException {
    this.settings = requireNonNull(settings, "settings");
    Optional<Path> folder = settings.isVoter() ? settings.vm().dataFolder() : Optional.empty();
    this.store = folder.isPresent() ? ControlStore.open(folder.get()) : null;
    this.vertx = Vertx.vertx(new VertxOptions().setPreferNativeTransport(false));
    this.tracing = new Tracing(settings.observability().traceRatio());
    this.views = new ViewHolder(clock.millis());
    ServerHealth health = new ServerHealth();
    DatabaseConnector connector = new HttpDatabaseConnector(vertx, settings::reachable);
    this.pools =
        new BackendPools(
            connector, clock, settings.policy().queue(), settings.limits().maxQueued(), health);
    AtomicLong peerBytes = new AtomicLong();
    PeerNetwork network =
        new PeerNetwork(
            settings.vm().name(),
            settings.secrets().cluster(),
            vertx,
            clock,
            this::peerAddress,
            peerBytes);
    this.control =
        new ControlPlane(
            settings,
            store,
            network,
            views,
            registry,
            connector,
            tracing,
            clock,
            () -> LOG.error("this VM keeps serving but needs an operator"));
    Router router =
        new DefaultRouter(
            settings.vm().failureDomain(),
            settings.vm().region(),
            settings.policy().routing(),
            pools);
    Backends backends = new Backends(registry, health, router, pools, connector, new RetryBudget());
    this.requests =
        new RequestPath(
            vertx,
            settings,
            views,
            backends,
            control.limiter(),
            control.claims(),
            control.forwarder(),
            tracing,
            new RequestMetrics(meters),
            clock);
    this.readiness = new Readiness(views);
    this.admin =
        new AdminServer(vertx, settings, control, views, registry, readiness, meters, clock);
    registerGauges(peerBytes);
  }

  /**
   * Binds all addresses and starts to serve.
   *
   * @throws CowslipException if an address cannot be bound
   */
  void start() throws CowslipException {
    await(control.start(requests::runStep), settings.listen().peers());
    await(admin.start(), settings.listen().admin());
    await(requests.server().start(), settings.listen().callers());
    vertx.setPeriodic(
        QUEUE_TICK_MILLIS,
        id -> {
          pools.tick(clock.millis());
          requests.expireTransactions(clock.millis());
        });
    LOG.info("VM {} serves callers on {}", settings.vm().name(), settings.listen().callers());
  }

  /**
   * Stops gracefully: turns readiness off, waits for the balancer, finishes what is in progress,
   * and only then closes.
   */
  @Override
  public void close() {
    LOG.info("stopping: not ready any more");
    long startedMillis = clock.millis();
    readiness.stop();
    requests.server().drain();
    sleepUntil(startedMillis + settings.limits().drainWaitMillis());
    long limit = startedMillis + settings.limits().drainLimitMillis();
    while (isBusy() && clock.millis() < limit) {
      sleepUntil(clock.millis() + DRAIN_POLL_MILLIS);
    }
    if (isBusy()) {
      LOG.warn(
          "stopping with {} requests and {} transactions in progress",
          requests.server().inProgress(),
          requests.openTransactions());
    }
    awaitQuietly(requests.server().stop());
    control.release();
    awaitQuietly(admin.stop());
    control.close();
    pools.close();
    tracing.close();
    awaitQuietly(vertx.close());
    if (store != null) {
      store.close();
    }
    LOG.info("stopped after {} ms", clock.millis() - startedMillis);
  }

  private boolean isBusy() {
    return requests.server().inProgress() > 0 || requests.openTransactions() > 0;
  }

  private Optional<String> peerAddress(String vm) {
    String configured = settings.voters().get(vm);
    if (configured != null) {
      return Optional.of(settings.reachable(configured));
    }
    return Optional.ofNullable(views.get().view().vms().get(vm))
        .map(VmRecord::peerAddress)
        .map(settings::reachable);
  }

  private void registerGauges(AtomicLong peerBytes) {
    new JvmMemoryMetrics().bindTo(meters);
    new ProcessorMetrics().bindTo(meters);
    Gauge.builder(
            "cowslipdale.view.version", views, holder -> (double) holder.get().view().version())
        .description("Version of the view that this VM acts on")
        .register(meters);
    Gauge.builder(
            "cowslipdale.lease.remaining.milliseconds",
            views,
            holder -> (double) (holder.get().lease().endMillis() - clock.millis()))
        .description("For how long the lease is still valid; negative after its end")
        .register(meters);
    Gauge.builder("cowslipdale.peer.sent.bytes", peerBytes, bytes -> (double) bytes.get())
        .description("Bytes sent to other VMs since the start")
        .register(meters);
    Gauge.builder("cowslipdale.requests.in.progress", requests.server(), s -> s.inProgress())
        .description("Requests of callers being served")
        .register(meters);
    Gauge.builder("cowslipdale.transactions.open", requests, r -> r.openTransactions())
        .description("Open transactions that this VM holds")
        .register(meters);
  }

  private static void await(Future<Void> future, String address) throws CowslipException {
    try {
      future.toCompletionStage().toCompletableFuture().get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new CowslipException(
          ResultCode.ADDRESS_IN_USE, "cannot bind %s: %s".formatted(address, e.getMessage()), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CowslipException(ResultCode.INTERNAL_ERROR, "interrupted", e);
    }
  }

  private static void awaitQuietly(Future<Void> future) {
    try {
      future.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      LOG.warn("a part did not stop in time", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void sleepUntil(long untilMillis) {
    long millis = untilMillis - clock.millis();
    if (millis > 0) {
      try {
        Thread.sleep(millis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
