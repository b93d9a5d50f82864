package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.consensus.ConsensusMessage;
import org.cowslipdale.core.consensus.ConsensusNode;
import org.cowslipdale.core.consensus.LogEntry;
import org.cowslipdale.core.consensus.Output;
import org.cowslipdale.core.consensus.Snapshot;
import org.cowslipdale.core.control.ControlState;
import org.cowslipdale.core.failover.FailoverAction;
import org.cowslipdale.core.failover.PromotionMode;
import org.cowslipdale.core.permit.PermitDemand;
import org.cowslipdale.core.permit.PermitIssuer;
import org.cowslipdale.core.permit.PermitReport;
import org.cowslipdale.core.quota.TokenDemand;
import org.cowslipdale.core.quota.TokenIssuer;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.RateLimit;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.cowslipdale.daemon.connection.PromotionService;
import org.cowslipdale.daemon.peer.EncodedViewUpdate;
import org.cowslipdale.daemon.peer.PeerMessage;
import org.cowslipdale.daemon.peer.PeerMessage.ChangeReply;
import org.cowslipdale.daemon.peer.PeerMessage.FleetQuery;
import org.cowslipdale.daemon.peer.PeerMessage.FleetReply;
import org.cowslipdale.daemon.peer.PeerMessage.LeaseReply;
import org.cowslipdale.daemon.peer.PeerMessage.LeaseRequest;
import org.cowslipdale.daemon.peer.PeerMessage.TokenReply;
import org.cowslipdale.daemon.peer.PeerMessage.TokenRequest;
import org.cowslipdale.daemon.peer.ViewUpdate;
import org.cowslipdale.daemon.storage.ControlStore;
import org.cowslipdale.daemon.storage.StorageException;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A voter of the control log. While it is the control leader, it also grants leases, permits and
 * tokens and runs failovers.
 *
 * <p>While its data folder cannot be written, a voter handles no messages and provides none of
 * these services. It then continues from what the folder contains, as after a restart of the
 * process. All methods run on the control thread.
 */
final class Voter {

  private static final Logger LOG = LoggerFactory.getLogger(Voter.class);
  private static final int ENTRIES_PER_SNAPSHOT = 500;

  /**
   * The number of configurations in the log at which a snapshot replaces them. Each contains the
   * whole configuration, and all of them are read when the VM starts. A snapshot takes some eight
   * syncs, which a slow disk makes longer than a leader lease, so it must not follow every few.
   */
  private static final int CONFIGURATIONS_PER_SNAPSHOT = 24;

  /** The estimated size of the commands in the log at which a snapshot replaces them, in bytes. */
  private static final long BYTES_PER_SNAPSHOT = 16 << 20;

  /**
   * The minimum interval between two notifications of changed configurations and members; far below
   * the time in which a configuration must be in force.
   */
  private static final long DEFERRED_BROADCAST_INTERVAL_MILLIS = 400;

  /** VMs from which a permit is recalled for each missing one; some have none to release. */
  private static final int RECALLS_PER_DEMAND = 2;

  /** Keeps a rate positive, as issuing tokens requires: one token in 1000 seconds. */
  private static final double MIN_TOKENS_PER_SECOND = 0.001;

  private final String vm;
  private final Set<String> voters;
  private final ControlStore store;
  private final BackendRegistry registry;
  private final FailoverExecutor executor;
  private final PromotionMode promotion;
  private final VmClock clock;
  private final PeerSender sender;
  private final Runnable onStorageFailure;
  private final RecentCommands recentCommands = new RecentCommands();
  private final ViewUpdates viewUpdates = new ViewUpdates(recentCommands);
  private ConsensusNode node;
  private ControlState state;
  private long appliedIndex;
  private int configurationsSinceSnapshot;
  private long bytesSinceSnapshot;
  private boolean broadcastPending;
  private long lastBroadcastMillis = Long.MIN_VALUE / 2;
  private @Nullable Leadership leadership;
  private @Nullable StorageOutage outage;

  Voter(
      String vm,
      Set<String> voters,
      ControlStore store,
      BackendRegistry registry,
      FailoverExecutor executor,
      PromotionMode promotion,
      VmClock clock,
      PeerSender sender,
      Runnable onStorageFailure) {
    this.vm = requireNonNull(vm, "vm");
    this.voters = Set.copyOf(voters);
    this.store = requireNonNull(store, "store");
    this.registry = requireNonNull(registry, "registry");
    this.executor = requireNonNull(executor, "executor");
    this.promotion = requireNonNull(promotion, "promotion");
    this.clock = requireNonNull(clock, "clock");
    this.sender = requireNonNull(sender, "sender");
    this.onStorageFailure = requireNonNull(onStorageFailure, "onStorageFailure");
    this.node = createNode(clock.processStartMillis(), clock.millis());
    this.state = store.snapshot().state();
    resetToSnapshot(store.snapshot());
  }

  /**
   * Creates the consensus node from the stored state.
   *
   * @param lastLeaderContactMillis a time after which this voter did not hear from a leader
   */
  private ConsensusNode createNode(long lastLeaderContactMillis, long now) {
    return new ConsensusNode(
        vm,
        voters,
        store.hardState(),
        store.snapshot(),
        store.entries(),
        new Random(),
        lastLeaderContactMillis,
        now);
  }

  private void resetToSnapshot(Snapshot snapshot) {
    state = snapshot.state();
    appliedIndex = snapshot.index();
    configurationsSinceSnapshot = 0;
    bytesSinceSnapshot = 0;
    recentCommands.reset(state.view().version());
  }

  void tick() {
    long now = clock.millis();
    StorageOutage currentOutage = outage;
    if (currentOutage != null) {
      recoverStorageIfDue(currentOutage, now);
      return;
    }
    execute(node.tick(now));
    updateLeadership();
    Leadership current = leadership;
    if (current != null && node.holdsLeaderLease(now)) {
      if (current.recordFirstLease()) {
        broadcastVersion();
      }
      broadcastIfDue();
      tickFailover(current, now);
      answerAllPermitDemands(current);
    }
  }

  void receive(ConsensusMessage message) {
    if (outage == null) {
      execute(node.receive(message, clock.millis()));
      updateLeadership();
    }
  }

  /** Transfers leadership to another voter before this VM shuts down. */
  void transferLeadership() {
    if (outage == null) {
      execute(node.transferLeadership(clock.millis()));
      updateLeadership();
    }
  }

  /**
   * Appends a command to the control log if this VM leads.
   *
   * @return completes with the result of the command, or with the reason why there is none
   */
  CompletableFuture<ChangeReply> propose(ViewCommand command) {
    CompletableFuture<ChangeReply> reply = new CompletableFuture<>();
    Leadership current = leadership;
    if (outage != null || current == null) {
      reply.complete(new ChangeReply(null, ResultCode.NO_LEADER));
      return reply;
    }
    Output output = node.propose(new LogEntry.Command(command), clock.millis());
    current.addPendingProposal(node.lastIndex(), reply);
    execute(output);
    return reply;
  }

  /**
   * Handles the request of a VM for a lease, and the reports that it carries.
   *
   * @return the reply; it grants a lease if this VM holds the leader lease and the other is
   *     registered
   */
  LeaseReply handleLeaseRequest(String from, LeaseRequest request) {
    long now = clock.millis();
    Leadership current = leadership;
    if (outage != null || current == null || !node.holdsLeaderLease(now)) {
      return refuseLease(request);
    }
    View view = state.view();
    VmRecord record = view.vms().get(from);
    boolean registered = record != null && record.active();
    if (request.release()) {
      current.leases().release(from, request.sentMillis(), now);
      return refuseLease(request);
    }
    current
        .failover()
        .updateReports(from, request.unreachablePrimaries(), request.reachablePrimaries());
    if (request.permits() != null) {
      addPermitReport(from, request.permits());
    } else {
      current.permits().discardReport(from);
    }
    if (request.positions() != null) {
      current.positions().addReport(request.positions());
    }
    if (registered) {
      current.leases().grant(from, request.version(), request.sentMillis(), now);
    }
    boolean encoded = request.acceptsEncodedUpdate() && request.version() != view.version();
    ViewUpdate update =
        encoded
            ? new ViewUpdate(request.version(), List.of(), null)
            : viewUpdates.updateFrom(request.version(), view);
    return new LeaseReply(
        registered,
        vm,
        registered,
        update.fromVersion(),
        update.commands(),
        update.view(),
        request.sentMillis(),
        voterNames(),
        countCallerVms(current, view, now),
        record != null && record.servesCallers() ? current.positions().createUpdate(now) : null,
        encoded ? encodeUpdate(request.version(), view) : null);
  }

  private EncodedViewUpdate encodeUpdate(long fromVersion, View view) {
    try {
      return viewUpdates.encodedUpdateFrom(fromVersion, view);
    } catch (IOException e) {
      throw new IllegalStateException("an update of the view cannot be encoded", e);
    }
  }

  /** Counts the VMs that share the connections to servers, at least 1. */
  private static int countCallerVms(Leadership current, View view, long now) {
    long serving =
        view.vms().values().stream()
            .filter(vm -> vm.active() && vm.servesCallers())
            .filter(vm -> current.leases().sharesServerConnections(vm.name(), now))
            .count();
    return (int) Math.max(1, serving);
  }

  /**
   * Returns the VMs that may hold permits for connections, including those of a previous leader.
   */
  private static Set<String> permitHolders(Leadership current, View view, long now) {
    return view.vms().values().stream()
        .filter(VmRecord::servesCallers)
        .map(VmRecord::name)
        .filter(vm -> current.leases().mayHoldPermits(vm, now))
        .collect(Collectors.toSet());
  }

  /** Grants a permit for a connection, at once or when another VM has released one. */
  void requestPermit(String from, PermitDemand demand, Consumer<PeerMessage> reply) {
    Leadership current = leadership;
    if (outage != null || current == null || !node.holdsLeaderLease(clock.millis())) {
      reply.accept(new PeerMessage.PermitReply(false));
      return;
    }
    current.addPendingPermit(demand, reply);
    current.permits().addDemand(from, demand, clock.millis());
    if (!answerPermitDemands(current, demand.server()).contains(demand)) {
      current
          .permits()
          .selectForRecall(demand.server(), from, RECALLS_PER_DEMAND)
          .forEach(vm -> sender.send(vm, new PeerMessage.PermitRecall(demand.server())));
    }
  }

  /** Records the permits that a VM holds, and grants those that it has released. */
  void addPermitReport(String from, PermitReport report) {
    Leadership current = leadership;
    if (outage == null && current != null) {
      current
          .permits()
          .applyReport(from, report, clock.millis())
          .forEach(server -> answerPermitDemands(current, server));
    }
  }

  /** Answers the demands for permits of one server, and returns those that were answered. */
  private Set<PermitDemand> answerPermitDemands(Leadership current, String server) {
    long now = clock.millis();
    if (!node.holdsLeaderLease(now)) {
      return Set.of();
    }
    Set<String> holders = permitHolders(current, state.view(), now);
    List<PermitIssuer.Answer> answers = current.permits().answerDemands(server, holders, now);
    return sendPermitAnswers(current, answers, holders, now);
  }

  private void answerAllPermitDemands(Leadership current) {
    long now = clock.millis();
    if (node.holdsLeaderLease(now)) {
      Set<String> holders = permitHolders(current, state.view(), now);
      sendPermitAnswers(current, current.permits().answerDemands(holders, now), holders, now);
    }
  }

  private static Set<PermitDemand> sendPermitAnswers(
      Leadership current, List<PermitIssuer.Answer> answers, Set<String> holders, long now) {
    Set<PermitDemand> answered = new HashSet<>();
    for (PermitIssuer.Answer answer : answers) {
      current.completePermit(answer.demand(), answer.granted());
      answered.add(answer.demand());
      if (!answer.granted() && current.mayLogRefusal(answer.demand().server(), now)) {
        logPermitRefusal(current, answer, holders, now);
      }
    }
    return answered;
  }

  private static void logPermitRefusal(
      Leadership current, PermitIssuer.Answer answer, Set<String> holders, long now) {
    PermitDemand demand = answer.demand();
    PermitIssuer.Reservation reservation =
        current.permits().reservation(demand.server(), holders, now);
    DecisionLog.line(LogEvent.PERMITS_REFUSED)
        .with("server", demand.server())
        .with("vm", answer.vm())
        .with("capacity", demand.capacity())
        .with("reported", reservation.reported())
        .with("previously_held", reservation.previouslyHeld())
        .with("vms", holders.size())
        .with("vms_uncovered", reservation.uncoveredVms())
        .with("vms_without_report", reservation.unknownVms())
        .with("first_reported", reservation.firstReported())
        .write();
  }

  /** Registers a VM unless it is registered with the same properties. */
  void register(VmRecord requested) {
    VmRecord known = state.view().vms().get(requested.name());
    boolean same =
        known != null
            && known.active()
            && known.failureDomain().equals(requested.failureDomain())
            && known.region().equals(requested.region())
            && known.peerAddress().equals(requested.peerAddress())
            && known.servesCallers() == requested.servesCallers();
    if (!same) {
      propose(new ViewCommand.RegisterVm(requested, clock.wallMillis()));
    }
  }

  /**
   * Issues tokens of a customer.
   *
   * @return the tokens; none if this VM does not lead or the customer is not known
   */
  TokenReply issueTokens(String from, TokenRequest request) {
    long now = clock.millis();
    Leadership current = leadership;
    Optional<RateLimit> limit = state.view().configuration().rateLimit(request.customer());
    if (outage != null || current == null || limit.isEmpty() || !node.holdsLeaderLease(now)) {
      return new TokenReply(null);
    }
    TokenDemand demand = request.demand();
    RateLimit issued = withoutReservedShares(limit.get(), from, current, now);
    TokenIssuer.Grant grant = current.tokens().issue(request.customer(), issued, from, demand, now);
    if (grant.needed() < demand.needed() && current.mayLogRefusal(request.customer(), now)) {
      DecisionLog.line(LogEvent.TOKENS_REFUSED)
          .with("customer", request.customer())
          .with("vm", from)
          .with("rate", limit.get().ratePerSecond())
          .with("burst", limit.get().burst())
          .with("rate_issued", issued.ratePerSecond())
          .with("needed", demand.needed())
          .with("issued", grant.needed())
          .write();
    }
    return new TokenReply(grant);
  }

  /**
   * Reduces a rate by the equal shares at which other VMs may serve the customer without a lease.
   * No share is reserved for the VM that requests tokens.
   */
  private RateLimit withoutReservedShares(
      RateLimit limit, String from, Leadership current, long now) {
    View view = state.view();
    long disconnected =
        view.vms().values().stream()
            .filter(vm -> vm.active() && vm.servesCallers())
            .filter(vm -> !vm.name().equals(from))
            .filter(vm -> current.leases().mayServeWithoutLease(vm.name(), now))
            .count();
    int sharing = countCallerVms(current, view, now);
    double reserved = Math.min(1, (double) disconnected / sharing);
    return new RateLimit(
        limit.ratePerSecond() * (1 - reserved) + MIN_TOKENS_PER_SECOND, limit.burst());
  }

  /**
   * Returns the state of all VMs.
   *
   * @return the state; without a leader if this VM does not hold the leader lease
   */
  FleetReply queryFleet(FleetQuery query) {
    long now = clock.millis();
    Leadership current = leadership;
    if (outage != null || current == null || !node.holdsLeaderLease(now)) {
      return new FleetReply(null, node.term(), 0, List.of(), List.of(), List.of());
    }
    View view = state.view();
    return new FleetReply(
        vm,
        node.term(),
        view.version(),
        current.leases().waitingFor(query.version(), view, query.graceMillis(), now),
        List.copyOf(leaseHolders(current, view, now)),
        query.includeHistory() ? state.history() : List.of());
  }

  Optional<String> leader() {
    return node.leader();
  }

  ConsensusNode.Role role() {
    return node.role();
  }

  private LeaseReply refuseLease(LeaseRequest request) {
    return new LeaseReply(
        false,
        node.leader().orElse(null),
        true,
        request.version(),
        List.of(),
        null,
        request.sentMillis(),
        voterNames(),
        0,
        null,
        null);
  }

  private List<String> voterNames() {
    return List.copyOf(node.voters().names());
  }

  /** Returns the newest configuration document, or none if a newer one may exist elsewhere. */
  PeerMessage.DocumentReply newestDocument() {
    boolean newest = outage == null && leadership != null && node.holdsLeaderLease(clock.millis());
    return new PeerMessage.DocumentReply(newest ? state.view().document() : null);
  }

  /**
   * Stores the output of the consensus node, then sends its messages and applies its committed
   * entries. Nothing is sent before it is stored.
   */
  private void execute(Output output) {
    if (output.needsStorage()) {
      try {
        store.store(output);
      } catch (StorageException e) {
        LOG.error("Failed to store the control log; this VM does not vote until it can", e);
        beginStorageOutage(e);
        return;
      }
    }
    Snapshot snapshot = output.snapshot();
    if (snapshot != null) {
      resetToSnapshot(snapshot);
    }
    sendMessages(output);
    output.committed().forEach(this::apply);
    compactIfDue();
  }

  private void sendMessages(Output output) {
    for (Output.OutboundMessage send : output.messages()) {
      sender.send(send.recipient(), new PeerMessage.Consensus(send.message()));
    }
  }

  private void apply(LogEntry entry) {
    appliedIndex = entry.index();
    bytesSinceSnapshot += entry.estimatedBytes();
    if (entry.payload() instanceof LogEntry.Voters change
        && change.voters().contains(node.self())) {
      LOG.info("this VM takes part as a voter");
      DecisionLog.line(LogEvent.VOTERS_CHANGED)
          .with("index", entry.index())
          .with("voters", change.voters().names())
          .write();
    }
    if (entry.payload() instanceof LogEntry.Command logged) {
      if (logged.command() instanceof ViewCommand.ReplaceConfiguration) {
        configurationsSinceSnapshot++;
      }
      ControlState.ApplyResult applied = state.apply(logged.command());
      state = applied.state();
      if (applied.viewChanged()) {
        commandAccepted(logged.command());
      }
      Leadership current = leadership;
      if (current != null && entry.term() == current.term()) {
        current.completeProposal(entry.index(), new ChangeReply(applied.result(), null));
      }
    }
  }

  private void commandAccepted(ViewCommand command) {
    recentCommands.add(command);
    Leadership current = leadership;
    if (current == null) {
      return;
    }
    long version = state.view().version();
    if (command instanceof ViewCommand.BeginTerm begin) {
      current.failover().recordTermVersion(begin.database(), version);
      DecisionLog.line(LogEvent.PROMOTION_PHASE)
          .with("phase", "term-began")
          .with("database", begin.database())
          .with("view_term", begin.term())
          .with("view_version", version)
          .write();
    }
    if (command instanceof ViewCommand.CompleteTerm complete) {
      DecisionLog.line(LogEvent.PROMOTION_PHASE)
          .with("phase", "term-completed")
          .with("database", complete.database())
          .with("view_term", complete.term())
          .with("server", complete.primary())
          .write();
    }
    broadcastPending = true;
    if (isDeferrable(command)) {
      broadcastIfDue();
    } else {
      broadcastVersion();
    }
  }

  /** Returns whether no VM waits for a change; many such changes may follow each other. */
  private static boolean isDeferrable(ViewCommand command) {
    return command instanceof ViewCommand.ReplaceConfiguration
        || command instanceof ViewCommand.RegisterVm;
  }

  /** Notifies the VMs of deferred changes unless they were notified a short time ago. */
  private void broadcastIfDue() {
    if (broadcastPending
        && clock.millis() - lastBroadcastMillis >= DEFERRED_BROADCAST_INTERVAL_MILLIS) {
      broadcastVersion();
    }
  }

  /**
   * Notifies all active VMs of the version of the view; those with an older one request it at once.
   */
  private void broadcastVersion() {
    broadcastPending = false;
    lastBroadcastMillis = clock.millis();
    PeerMessage update = new PeerMessage.ViewChanged(state.view().version());
    state.view().activeVms().forEach(member -> sender.send(member.name(), update));
  }

  private void compactIfDue() {
    if (appliedIndex - store.snapshot().index() < ENTRIES_PER_SNAPSHOT
        && configurationsSinceSnapshot < CONFIGURATIONS_PER_SNAPSHOT
        && bytesSinceSnapshot < BYTES_PER_SNAPSHOT) {
      return;
    }
    try {
      Snapshot snapshot = node.compact(state, appliedIndex);
      store.compact(snapshot, node.entriesAfterSnapshot());
      configurationsSinceSnapshot = 0;
      bytesSinceSnapshot = 0;
    } catch (StorageException e) {
      LOG.error("Failed to store the snapshot; this VM does not vote until it can", e);
      beginStorageOutage(e);
    }
  }

  /** Stops taking part in the consensus, and transfers leadership to another voter. */
  private void beginStorageOutage(StorageException cause) {
    long now = clock.millis();
    outage = StorageOutage.begin(now);
    DecisionLog.line(LogEvent.STORAGE_LOST).with("reason", cause.getMessage()).write();
    sendMessages(node.transferLeadership(now));
    updateLeadership();
    onStorageFailure.run();
  }

  /** Takes part in the consensus again if the data folder can be written. */
  private void recoverStorageIfDue(StorageOutage current, long now) {
    if (!current.isAttemptDue(now)) {
      return;
    }
    try {
      store.recover();
    } catch (StorageException e) {
      LOG.warn("The data folder is not available yet: {}", e.getMessage());
      outage = current.attemptFailed(clock.millis());
      return;
    }
    outage = null;
    long recoveredMillis = clock.millis();
    node = createNode(recoveredMillis, recoveredMillis);
    resetToSnapshot(store.snapshot());
    DecisionLog.line(LogEvent.STORAGE_REGAINED)
        .with("outage_ms", recoveredMillis - current.startMillis())
        .with("failed_attempts", current.failedAttempts())
        .write();
  }

  /**
   * Follows a change of the role. The outcome of proposals that are pending at the end of a
   * leadership is unknown.
   */
  private void updateLeadership() {
    boolean leads = outage == null && node.role() == ConsensusNode.Role.LEADER;
    Leadership current = leadership;
    if (current != null && (!leads || current.term() != node.term())) {
      DecisionLog.line(LogEvent.LEADERSHIP_LOST).with("log_term", current.term()).write();
      current.abandonProposals();
      leadership = null;
    }
    if (leads && leadership == null) {
      DecisionLog.line(LogEvent.LEADERSHIP_GAINED).with("log_term", node.term()).write();
      leadership =
          new Leadership(node.term(), promotion, clock.millis(), node.previousLeaseEndMillis());
    }
  }

  private void tickFailover(Leadership current, long now) {
    View view = state.view();
    List<FailoverAction> actions =
        current
            .failover()
            .tick(
                view,
                registry,
                leaseHolders(current, view, now),
                version -> current.leases().waitingFor(version, view, 0, now).isEmpty(),
                now);
    actions.forEach(action -> execute(current, action));
  }

  private void execute(Leadership current, FailoverAction action) {
    switch (action) {
      case FailoverAction.Propose propose -> propose(propose.command());
      case FailoverAction.QueryPosition query ->
          executor.queryPosition(
              query,
              (answered, position) ->
                  current
                      .failover()
                      .recordPosition(
                          answered.database(), answered.term(), answered.server(), position));
      case FailoverAction.RequestPromotion promote -> {
        long leaseEndMillis = node.leaderLeaseEndMillis(clock.millis());
        executor.promote(
            promote,
            () -> clock.millis() < leaseEndMillis,
            (answered, answer) -> promotionAnswered(current, answered, answer));
      }
      case FailoverAction.AssignRole order ->
          executor.sendOrder(
              order,
              status ->
                  current
                      .failover()
                      .confirmPromotion(
                          order.database(),
                          order.term(),
                          order.server(),
                          status.offset(),
                          clock.millis())
                      .ifPresent(next -> execute(current, next)));
    }
  }

  private void promotionAnswered(
      Leadership current, FailoverAction.RequestPromotion promote, PromotionService.Answer answer) {
    switch (answer) {
      case ACCEPTED -> current.failover().handlePromotionReply(promote, true, clock.millis());
      case REFUSED -> current.failover().handlePromotionReply(promote, false, clock.millis());
      case BUSY ->
          LOG.debug("The promotion service is busy; the promotion will be requested again");
    }
  }

  private static Set<String> leaseHolders(Leadership current, View view, long now) {
    Set<String> holders = new HashSet<>();
    for (VmRecord member : view.activeVms()) {
      if (current.leases().mayHoldLease(member.name(), now)) {
        holders.add(member.name());
      }
    }
    return holders;
  }
}
