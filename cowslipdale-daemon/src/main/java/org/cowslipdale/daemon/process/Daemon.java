package org.cowslipdale.daemon.process;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.Optional;
import org.cowslipdale.config.ini.SectionReader;
import org.cowslipdale.config.settings.DaemonSettings;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.view.VmRecord;
import org.cowslipdale.daemon.adapter.Adapter;
import org.cowslipdale.daemon.client.BoundedAcceptTransport;
import org.cowslipdale.daemon.client.ClientGuard;
import org.cowslipdale.daemon.control.ControlPlane;
import org.cowslipdale.daemon.peer.PeerNetwork;
import org.cowslipdale.daemon.peer.PeerTraffic;
import org.cowslipdale.daemon.storage.ControlStore;
import org.cowslipdale.daemon.telemetry.CountingAppender;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.cowslipdale.daemon.telemetry.Tracing;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Creates, starts and gracefully stops the components of the daemon. */
final class Daemon implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
  private static final long FRONTEND_TICK_MILLIS = 10;

  /** The minimum, because the daemon runs nothing on Vert.x worker threads. */
  private static final int WORKER_THREADS = 1;

  private static final long DRAIN_POLL_MILLIS = 20;

  /** Part of the drain limit in which requests that are still in progress are answered. */
  private static final long LAST_REPLIES_MILLIS = 150;

  /** Part of the drain limit that is reserved for closing the components and ending the process. */
  private static final long EXIT_MARGIN_MILLIS = 600;

  /** How long a server that an adapter announces is retained after its latest announcement. */
  private static final long ADAPTER_ANNOUNCEMENT_TIMEOUT_MILLIS = 12_000;

  private final DaemonSettings settings;
  private final VmClock clock = new VmClock();
  private final Vertx vertx;
  private final Tracing tracing;
  private final PrometheusMeterRegistry meters =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final ViewHolder views;
  private final BackendRegistry registry;
  private final @Nullable ControlStore store;
  private final ControlPlane control;
  private final ClientGuard guard;
  private final CallerFrontend frontend;
  private final Readiness readiness;
  private final AdminServer admin;

  /**
   * Creates the components of a daemon.
   *
   * @param settings the validated settings
   * @param adapter implements the protocols of a platform; if empty, callers are served over HTTP
   * @throws CowslipException if the data folder cannot be used
   */
  Daemon(DaemonSettings settings, Optional<Adapter> adapter) throws CowslipException {
    this.settings = requireNonNull(settings, "settings");
    this.store = settings.storesControlLog() ? openStore(settings) : null;
    this.vertx = createVertx(settings);
    this.tracing = new Tracing(settings.observability().traceRatio());
    this.views = new ViewHolder(clock.millis());
    this.readiness = new Readiness(views, clock, adapter.isPresent());
    this.registry =
        adapter.isPresent()
            ? new BackendRegistry(ADAPTER_ANNOUNCEMENT_TIMEOUT_MILLIS)
            : new BackendRegistry();
    Counter storageFailures =
        Counter.builder("cowslipdale.storage.failures")
            .description("How often the data folder could not be written")
            .register(meters);
    this.guard =
        new ClientGuard(
            vertx, clock, meters, settings.limits().maxHeldBytes(), settings.limits().clients());
    this.frontend =
        adapter.isPresent()
            ? new SessionFrontend(
                vertx, adapter.get(), settings, views, registry, meters, readiness, clock, guard)
            : new HttpFrontend(vertx, settings, views, registry, meters, tracing, clock);
    PeerNetwork network =
        new PeerNetwork(
            settings.vm().name(),
            settings.secrets().cluster(),
            vertx,
            clock,
            this::peerAddress,
            new PeerTraffic(meters),
            guard);
    this.control =
        new ControlPlane(
            settings,
            store,
            network,
            views,
            registry,
            frontend.backendAccess(),
            tracing,
            clock,
            storageFailures::increment);
    frontend.initialize(control);
    this.admin =
        new AdminServer(vertx, settings, control, views, registry, readiness, meters, clock, guard);
    registerMeters();
  }

  private static ControlStore openStore(DaemonSettings settings) throws CowslipException {
    Path folder = settings.vm().dataFolder().orElseThrow();
    boolean firstVoter =
        settings.control().bootstrap()
            && settings.control().seeds().contains(settings.vm().name())
            && ControlStore.isEmpty(folder);
    if (firstVoter) {
      ControlStore.initialize(folder, settings.control().seeds());
    }
    return ControlStore.open(folder);
  }

  private static Vertx createVertx(DaemonSettings settings) {
    VertxOptions options =
        new VertxOptions()
            .setPreferNativeTransport(false)
            .setEventLoopPoolSize(settings.limits().eventLoops())
            .setWorkerPoolSize(WORKER_THREADS)
            .setInternalBlockingPoolSize(WORKER_THREADS);
    options.getFileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false);
    int maxConnections = settings.limits().clients().maxConnections();
    return Vertx.builder()
        .with(options)
        .withTransport(new BoundedAcceptTransport(maxConnections))
        .build();
  }

  /**
   * Binds all addresses and starts serving.
   *
   * @throws CowslipException if an address cannot be bound
   */
  void start() throws CowslipException {
    guard.start();
    LifecycleWaits.awaitBound(
        control.start(frontend::runTransactionStep), settings.listen().peers());
    LifecycleWaits.awaitBound(admin.start(), settings.listen().admin());
    frontend.start();
    vertx.setPeriodic(FRONTEND_TICK_MILLIS, id -> frontend.tick(clock.millis()));
    DecisionLog.line(LogEvent.DAEMON_STARTED)
        .with("vm", settings.vm().label())
        .with("name", settings.vm().name())
        .with("keeps_log", settings.storesControlLog())
        .write();
  }

  /**
   * Stops gracefully: reports that the VM is not ready, waits until the load balancer has noticed,
   * completes the requests in progress, and only then closes all components.
   */
  @Override
  public void close() {
    DecisionLog.line(LogEvent.DAEMON_STOPPING).with("vm", settings.vm().label()).write();
    long startedMillis = clock.millis();
    readiness.markStopping();
    long limitMillis =
        startedMillis
            + settings.limits().drainLimitMillis()
            - EXIT_MARGIN_MILLIS
            - LAST_REPLIES_MILLIS;
    if (servesCallers()) {
      drainCallers(startedMillis, limitMillis);
    }
    control.release();
    LifecycleWaits.awaitStopped(frontend.stop());
    LifecycleWaits.awaitStopped(admin.stop());
    control.close();
    frontend.close();
    tracing.close();
    LifecycleWaits.awaitStopped(vertx.close());
    if (store != null) {
      store.close();
    }
    DecisionLog.line(LogEvent.DAEMON_STOPPED)
        .with("vm", settings.vm().label())
        .with("took_ms", clock.millis() - startedMillis)
        .write();
  }

  /** Applies the settings that may change while the daemon runs: the seeds. */
  void applySettings(DaemonSettings changed) {
    control.addSeeds(changed.control().seeds());
  }

  private boolean servesCallers() {
    return settings.listen().callers().isPresent() || settings.listen().sessions().isPresent();
  }

  /**
   * Waits until the load balancer has noticed, then until no caller is busy.
   *
   * <p>Transactions that are still open after half of the drain limit are ended, and requests that
   * are still in progress shortly before it.
   */
  private void drainCallers(long startedMillis, long limitMillis) {
    long endTransactionsMillis = startedMillis + settings.limits().drainLimitMillis() / 2;
    sleepUntil(startedMillis + settings.limits().drainWaitMillis());
    boolean transactionsEnded = false;
    frontend.drain();
    while (isBusy() && clock.millis() < limitMillis) {
      sleepUntil(clock.millis() + DRAIN_POLL_MILLIS);
      if (!transactionsEnded && clock.millis() >= endTransactionsMillis) {
        transactionsEnded = true;
        frontend.endTransactions();
      }
      frontend.drain();
    }
    if (isBusy()) {
      LOG.warn("drain limit reached; ending the requests and transactions in progress");
      frontend.endRequests();
      awaitIdleUntil(limitMillis + LAST_REPLIES_MILLIS);
    }
  }

  private void awaitIdleUntil(long limitMillis) {
    while (isBusy() && clock.millis() < limitMillis) {
      sleepUntil(clock.millis() + DRAIN_POLL_MILLIS);
    }
  }

  /** Returns whether a caller of this VM, or of a VM that forwarded a step to it, waits for it. */
  private boolean isBusy() {
    return frontend.isBusy() || control.forwardedStepsInProgress() > 0;
  }

  private Optional<String> peerAddress(String vm) {
    String configured = settings.control().voters().get(vm);
    if (configured != null) {
      return Optional.of(settings.translate(configured));
    }
    if (SectionReader.isAddress(vm)) {
      return Optional.of(settings.translate(vm));
    }
    return Optional.ofNullable(views.get().view().vms().get(vm))
        .map(VmRecord::peerAddress)
        .map(settings::translate);
  }

  private void registerMeters() {
    Gauge.builder(
            "cowslipdale.heap.used.bytes",
            Runtime.getRuntime(),
            runtime -> (double) (runtime.totalMemory() - runtime.freeMemory()))
        .description("Memory in use on the heap, garbage included")
        .register(meters);
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
    Gauge.builder(
            "cowslipdale.evacuated.domains",
            views,
            holder -> (double) holder.get().view().evacuatedDomains().size())
        .description("Failure domains that are evacuated in the view of this VM")
        .register(meters);
    FunctionCounter.builder(
            "cowslipdale.log.dropped.lines", meters, ignored -> CountingAppender.droppedLines())
        .description("Log lines that were dropped because the output could not keep up")
        .register(meters);
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
