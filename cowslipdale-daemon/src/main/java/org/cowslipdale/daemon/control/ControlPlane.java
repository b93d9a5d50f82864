package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.config.settings.DaemonSettings;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.claim.ClaimReply;
import org.cowslipdale.core.claim.ClaimTable;
import org.cowslipdale.core.claim.RequestId;
import org.cowslipdale.core.failover.KnownFailureDomains;
import org.cowslipdale.core.failover.PrimaryProbeMonitor;
import org.cowslipdale.core.failover.PromotionMode;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.FleetPositions;
import org.cowslipdale.core.view.ApiKey;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.DeclaredDocument;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.cowslipdale.daemon.adapter.Operations;
import org.cowslipdale.daemon.peer.PeerHandler;
import org.cowslipdale.daemon.peer.PeerMessage;
import org.cowslipdale.daemon.peer.PeerMessage.ChangeReply;
import org.cowslipdale.daemon.peer.PeerMessage.ClaimAnswer;
import org.cowslipdale.daemon.peer.PeerMessage.ClaimEnd;
import org.cowslipdale.daemon.peer.PeerMessage.ClaimRequest;
import org.cowslipdale.daemon.peer.PeerMessage.FleetQuery;
import org.cowslipdale.daemon.peer.PeerMessage.FleetReply;
import org.cowslipdale.daemon.peer.PeerMessage.ForwardReply;
import org.cowslipdale.daemon.peer.PeerMessage.LeaseReply;
import org.cowslipdale.daemon.peer.PeerMessage.LeaseRequest;
import org.cowslipdale.daemon.peer.PeerMessage.TokenRequest;
import org.cowslipdale.daemon.peer.PeerNetwork;
import org.cowslipdale.daemon.request.RateLimiter;
import org.cowslipdale.daemon.request.Reply;
import org.cowslipdale.daemon.request.RequestClaims;
import org.cowslipdale.daemon.request.TransactionForwarder;
import org.cowslipdale.daemon.request.TransactionStep;
import org.cowslipdale.daemon.session.ConnectionPermits;
import org.cowslipdale.daemon.session.GatewayHandler;
import org.cowslipdale.daemon.session.GatewayLink;
import org.cowslipdale.daemon.storage.ControlStore;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.cowslipdale.daemon.telemetry.Tracing;
import org.cowslipdale.daemon.version.CurrentView;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The control plane of this VM: connects its components and dispatches messages from other VMs.
 *
 * <p>This class is thread-safe. State of the components is confined to a {@link ControlThread}
 * unless they are thread-safe themselves.
 */
public final class ControlPlane implements Operations, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ControlPlane.class);
  private static final ObjectMapper JSON = Codecs.json();
  private static final long TICK_INTERVAL_MILLIS = 25;
  private static final long EXPIRY_INTERVAL_MILLIS = 1_000;
  private static final long CHANGE_TIMEOUT_MILLIS = 3_000;
  private static final long QUERY_TIMEOUT_MILLIS = 800;

  private final DaemonSettings settings;
  private final PeerNetwork network;
  private final ViewHolder views;
  private final BackendRegistry registry;
  private final VmClock clock;
  private final ControlThread control = new ControlThread();
  private final ControlLink link;
  private final ViewClient viewClient;
  private final @Nullable Prober prober;
  private final AnnouncementRelay relay;
  private final ClaimTable claimTable;
  private final FleetRateLimiter rateLimiter;
  private final FleetClaims requestClaims;
  private final FleetPositions positions = new FleetPositions();
  private final FleetPermits permits;
  private final TransactionForwarder transactionForwarder;
  private final @Nullable Voter voter;
  private final AtomicInteger forwardedSteps = new AtomicInteger();
  private final MessageHandler messages = new MessageHandler();
  private volatile @Nullable GatewayHandler gatewayHandler;
  private volatile Function<TransactionStep, Reply> transactionStepHandler =
      step -> new Reply(ResultCode.SHUTTING_DOWN.httpStatus(), "{}", null);

  /**
   * Creates the control plane.
   *
   * @param settings the settings of the daemon
   * @param store the durable state, if this VM is a voter
   * @param network the connections to other VMs
   * @param views receives each new view and lease
   * @param registry the backend servers that have announced themselves
   * @param access the way in which backend servers are observed and promoted
   * @param tracing creates spans
   * @param clock the monotonic and wall clocks of the VM
   * @param onStorageFailure runs when the durable state cannot be written
   */
  public ControlPlane(
      DaemonSettings settings,
      @Nullable ControlStore store,
      PeerNetwork network,
      ViewHolder views,
      BackendRegistry registry,
      BackendAccess access,
      Tracing tracing,
      VmClock clock,
      Runnable onStorageFailure) {
    this.settings = requireNonNull(settings, "settings");
    this.network = requireNonNull(network, "network");
    this.views = requireNonNull(views, "views");
    this.registry = requireNonNull(registry, "registry");
    this.clock = requireNonNull(clock, "clock");
    String vm = settings.vm().name();
    Set<String> initialVoters = initialVoters(settings);
    this.link = new ControlLink(vm, network, initialVoters);
    this.permits = new FleetPermits(link, views, clock);
    VmRecord self =
        new VmRecord(
            vm,
            settings.vm().failureDomain(),
            settings.vm().region(),
            settings.listen().peers(),
            0,
            Long.MAX_VALUE,
            true,
            settings.listen().callers().isPresent() || settings.listen().sessions().isPresent());
    switch (access) {
      case BackendAccess.Direct direct -> {
        PrimaryProbeMonitor probe = new PrimaryProbeMonitor();
        this.viewClient =
            new ViewClient(self, link, views, probe, positions, permits, control, clock);
        this.prober =
            new Prober(vm, views, registry, direct.connector(), probe, control, viewClient::renew);
      }
      case BackendAccess.External external -> {
        this.viewClient =
            new ViewClient(
                self, link, views, external.trafficMonitor(), positions, permits, control, clock);
        this.prober = null;
      }
    }
    this.relay = new AnnouncementRelay(vm, registry, views, link::send, clock::millis);
    this.claimTable = new ClaimTable(clock.wallMillis());
    this.rateLimiter = new FleetRateLimiter(link, views, clock);
    this.requestClaims = new FleetClaims(link, views, clock);
    this.transactionForwarder = new PeerForwarder(link, tracing);
    this.voter =
        store == null
            ? null
            : new Voter(
                vm,
                initialVoters,
                store,
                registry,
                new FailoverExecutor(settings.vm().label(), access, control),
                access instanceof BackendAccess.Direct
                    ? new PromotionMode.ByServer()
                    : new PromotionMode.ByService(),
                clock,
                link::send,
                onStorageFailure);
    link.setLocalHandler(messages);
  }

  /**
   * Binds the address for other VMs and starts all periodic tasks.
   *
   * @param stepHandler runs steps of transactions that other VMs forward; may block
   * @return completes once the address is bound
   */
  public Future<Void> start(Function<TransactionStep, Reply> stepHandler) {
    transactionStepHandler = stepHandler;
    return network
        .listen(settings.listen().peers(), messages)
        .onSuccess(ignored -> startPeriodicTasks());
  }

  /** Returns the rate limiter for customers. */
  public RateLimiter rateLimiter() {
    return rateLimiter;
  }

  /** Returns the log positions that primaries have reported to any VM. */
  public FleetPositions positions() {
    return positions;
  }

  /**
   * Returns the permits for connections to servers, after setting how idle connections are closed.
   *
   * @param closeIdle closes the idle connections to the named server
   */
  public ConnectionPermits connectionPermits(Consumer<String> closeIdle) {
    permits.setCloseIdle(closeIdle);
    return permits;
  }

  /** Returns the link to the gateways that hold connections to servers for this VM. */
  public GatewayLink gatewayLink() {
    return new PeerGatewayLink(link);
  }

  /**
   * Makes this VM a gateway of other VMs. Without a handler, their requests are not answered.
   *
   * @param handler handles their requests
   */
  public void setGatewayHandler(GatewayHandler handler) {
    gatewayHandler = handler;
  }

  /** Returns the claims on request ids, which hold across all VMs. */
  public RequestClaims requestClaims() {
    return requestClaims;
  }

  /** Returns the forwarder of transaction steps to other VMs. */
  public TransactionForwarder transactionForwarder() {
    return transactionForwarder;
  }

  /**
   * Returns the number of transaction steps that other VMs have forwarded to this one and whose
   * replies have not been written yet.
   */
  public int forwardedStepsInProgress() {
    return forwardedSteps.get();
  }

  /** Renews the lease without delay, which sends new reports of this VM to the control leader. */
  public void renewLease() {
    control.execute(viewClient::renew);
  }

  /**
   * Adds voters to those that are tried in turn while the control leader is not known.
   *
   * @param seeds the peer addresses of some voters
   */
  public void addSeeds(List<String> seeds) {
    control.execute(() -> link.addVoters(seeds));
  }

  @Override
  public CompletableFuture<ResultCode> replaceConfiguration(
      DeclaredDocument document, Configuration configuration, List<ApiKey> keys) {
    return propose(new ViewCommand.ReplaceConfiguration(document, configuration, keys))
        .whenComplete(
            (reply, failure) ->
                DecisionLog.line(LogEvent.CONFIGURATION_PROPOSED)
                    .with("configuration_version", document.version())
                    .with(
                        "result", reply.result() == null ? reply.failure() : reply.result().code())
                    .write())
        .thenApply(ControlPlane::resultCode);
  }

  private static ResultCode resultCode(ChangeReply reply) {
    return reply.result() != null
        ? reply.result().code()
        : Optional.ofNullable(reply.failure()).orElse(ResultCode.CHANGE_OUTCOME_UNKNOWN);
  }

  @Override
  public CompletableFuture<ResultCode> beginEvacuation(String failureDomain) {
    return proposeEvacuation(failureDomain, true).thenApply(ControlPlane::resultCode);
  }

  @Override
  public CompletableFuture<ResultCode> endEvacuation(String failureDomain) {
    return proposeEvacuation(failureDomain, false).thenApply(ControlPlane::resultCode);
  }

  /**
   * Proposes the beginning or the end of an evacuation, if the failure domain is known. A VM
   * without a lease may not know all VMs and servers, so it answers that it cannot reach the
   * leader.
   *
   * @param failureDomain the name of the failure domain
   * @param begin whether the evacuation begins
   * @return completes with the result or with the reason why there is none; never exceptionally
   */
  public CompletableFuture<ChangeReply> proposeEvacuation(String failureDomain, boolean begin) {
    CurrentView current = views.get();
    boolean known =
        KnownFailureDomains.contains(
            failureDomain, settings.regions().keySet(), current.view(), registry);
    CompletableFuture<ChangeReply> reply;
    if (known) {
      reply =
          propose(
              begin
                  ? new ViewCommand.BeginEvacuation(failureDomain)
                  : new ViewCommand.EndEvacuation(failureDomain));
    } else {
      boolean leased = current.lease().isValid(clock.millis());
      reply =
          CompletableFuture.completedFuture(
              new ChangeReply(null, leased ? ResultCode.NO_SUCH_OBJECT : ResultCode.NO_LEADER));
    }
    return reply.whenComplete(
        (change, failure) ->
            DecisionLog.line(LogEvent.EVACUATION_CHANGED)
                .with("phase", "ordered")
                .with("failure_domain", failureDomain)
                .with("evacuated", begin)
                .with("result", resultCode(change))
                .with("view_version", change.result() == null ? null : change.result().version())
                .write());
  }

  @Override
  public CompletableFuture<DeclaredDocument> newestDocument() {
    return link.request(link.assumedLeader(), new PeerMessage.DocumentQuery(), QUERY_TIMEOUT_MILLIS)
        .thenCompose(
            reply ->
                reply instanceof PeerMessage.DocumentReply found && found.document() != null
                    ? CompletableFuture.completedFuture(found.document())
                    : CompletableFuture.failedFuture(
                        new CowslipException(ResultCode.NO_LEADER, ResultCode.NO_LEADER.text())));
  }

  @Override
  public void markAsLeaving(String server) {
    control.execute(() -> relay.markAsLeaving(server));
  }

  @Override
  public void addAnnouncement(Announcement announcement) {
    control.execute(() -> relay.addAnnouncement(announcement));
  }

  /**
   * Proposes a change of the view to the control leader.
   *
   * @param command the command that makes the change
   * @return completes with the result or with the reason why there is none; never exceptionally
   */
  public CompletableFuture<ChangeReply> propose(ViewCommand command) {
    String leader = link.assumedLeader();
    return link.request(leader, new PeerMessage.ChangeRequest(command), CHANGE_TIMEOUT_MILLIS)
        .thenApply(
            reply ->
                reply instanceof ChangeReply change
                    ? change
                    : new ChangeReply(null, ResultCode.CHANGE_OUTCOME_UNKNOWN))
        .exceptionally(e -> new ChangeReply(null, ResultCode.CHANGE_OUTCOME_UNKNOWN));
  }

  /**
   * Queries the state of all VMs at the control leader.
   *
   * @param query the query
   * @return completes with the state, or with empty if no control leader answers; never
   *     exceptionally
   */
  public CompletableFuture<Optional<FleetReply>> queryFleet(FleetQuery query) {
    return link.request(link.assumedLeader(), query, QUERY_TIMEOUT_MILLIS)
        .thenApply(ControlPlane::toFleetReply)
        .exceptionally(e -> Optional.empty());
  }

  /** Releases the lease and transfers a leadership of this VM, before the VM shuts down. */
  public void release() {
    control.runAndWait(
        () -> {
          viewClient.release();
          if (voter != null) {
            voter.transferLeadership();
          }
        });
  }

  @Override
  public void close() {
    control.close();
    network.close();
  }

  private static Set<String> initialVoters(DaemonSettings settings) {
    return settings.control().seeds().isEmpty()
        ? settings.control().voters().keySet()
        : Set.copyOf(settings.control().seeds());
  }

  private static Optional<FleetReply> toFleetReply(PeerMessage reply) {
    return reply instanceof FleetReply fleet && fleet.leader() != null
        ? Optional.of(fleet)
        : Optional.empty();
  }

  private void startPeriodicTasks() {
    control.scheduleWithFixedDelay(TICK_INTERVAL_MILLIS, this::tick);
    if (prober != null) {
      control.scheduleWithFixedDelay(PrimaryProbeMonitor.INTERVAL_MILLIS, prober::probeAll);
    }
    control.scheduleWithFixedDelay(
        EXPIRY_INTERVAL_MILLIS,
        () -> {
          registry.removeExpired(clock.millis());
          claimTable.expire(clock.wallMillis());
        });
  }

  private void tick() {
    if (voter != null) {
      voter.tick();
    }
    viewClient.tick();
    relay.sendPending();
    rateLimiter.tick();
    permits.tick();
  }

  /** Passes messages of other VMs to the components that handle them. */
  private final class MessageHandler implements PeerHandler {

    @Override
    public void handle(String sender, PeerMessage message, ReplyChannel reply) {
      handleMessage(sender, message, reply);
    }

    @Override
    public void handleDisconnect(long connectionId) {
      GatewayHandler handler = gatewayHandler;
      if (handler != null) {
        handler.handleDisconnect(connectionId);
      }
    }
  }

  private void handleMessage(String from, PeerMessage message, PeerHandler.ReplyChannel reply) {
    if (message instanceof PeerMessage.GatewayCall call) {
      GatewayHandler handler = gatewayHandler;
      if (handler != null) {
        handler.handle(
            from,
            reply.connectionId(),
            call.request(),
            answer -> reply.send(new PeerMessage.GatewayAnswer(answer)));
      }
      return;
    }
    if (message instanceof PeerMessage.ForwardRequest forward) {
      forwardedSteps.incrementAndGet();
      Thread.startVirtualThread(() -> runForwardedStep(forward, reply));
      return;
    }
    control.execute(() -> dispatch(from, message, reply::send));
  }

  private void runForwardedStep(
      PeerMessage.ForwardRequest forward, PeerHandler.ReplyChannel reply) {
    CompletionStage<Void> written = CompletableFuture.completedFuture(null);
    try {
      written = reply.send(runStep(forward.step()));
    } finally {
      written.whenComplete((nothing, failure) -> forwardedSteps.decrementAndGet());
    }
  }

  private void dispatch(String from, PeerMessage message, Consumer<PeerMessage> reply) {
    switch (message) {
      case PeerMessage.ViewChanged update -> viewClient.handleViewUpdate(from, update.version());
      case PeerMessage.Announcements announcements -> relay.addRelayedAnnouncements(announcements);
      case ClaimRequest request -> reply.accept(handleClaimRequest(request));
      case ClaimEnd end -> handleClaimEnd(end);
      case PeerMessage.PermitRecall recall -> permits.handleRecall(recall.server());
      default -> dispatchToVoter(from, message, reply);
    }
  }

  private void dispatchToVoter(String from, PeerMessage message, Consumer<PeerMessage> reply) {
    if (voter == null) {
      LOG.debug("Ignoring {} from {}: this VM is not a voter", message, from);
      return;
    }
    switch (message) {
      case PeerMessage.Consensus consensus -> voter.receive(consensus.message());
      case LeaseRequest request -> handleLeaseRequest(voter, from, request, reply);
      case PeerMessage.Registration registration -> voter.register(registration.vm());
      case TokenRequest request -> reply.accept(voter.issueTokens(from, request));
      case PeerMessage.PermitRequest request -> voter.requestPermit(from, request.demand(), reply);
      case PeerMessage.PermitReturn returned -> voter.addPermitReport(from, returned.report());
      case FleetQuery query -> reply.accept(voter.queryFleet(query));
      case PeerMessage.DocumentQuery query -> reply.accept(voter.newestDocument());
      case PeerMessage.ChangeRequest change -> voter.propose(change.command()).thenAccept(reply);
      default -> LOG.debug("Ignoring {} from {}: unexpected message type", message, from);
    }
  }

  private void handleLeaseRequest(
      Voter voter, String from, LeaseRequest request, Consumer<PeerMessage> reply) {
    LeaseReply answer = voter.handleLeaseRequest(from, request);
    reply.accept(answer);
    boolean hasNoView = request.version() == 0;
    if (answer.granted() && hasNoView) {
      relay.sendAllTo(from);
    }
  }

  private PeerMessage handleClaimRequest(ClaimRequest request) {
    ClaimReply answer =
        RequestId.parse(request.requestId())
            .map(
                id ->
                    claimTable.claim(request.customer(), id, request.attempt(), clock.wallMillis()))
            .orElse(new ClaimReply.CannotTell());
    return new ClaimAnswer(answer);
  }

  private void handleClaimEnd(ClaimEnd end) {
    if (end.answer() == null) {
      claimTable.release(end.customer(), end.requestId(), end.attempt());
    } else {
      claimTable.complete(end.customer(), end.requestId(), end.attempt(), end.answer());
    }
  }

  private PeerMessage runStep(String json) {
    try {
      Reply reply = transactionStepHandler.apply(JSON.readValue(json, TransactionStep.class));
      return new ForwardReply(reply.status(), reply.body(), reply.sessionToken());
    } catch (JsonProcessingException e) {
      return new ForwardReply(ResultCode.BAD_REQUEST.httpStatus(), "{}", null);
    }
  }
}
