package org.cowslipdale.core.failover;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cowslipdale.core.backend.BackendGroup;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.ViewCommand;
import org.jspecify.annotations.Nullable;

/**
 * State machine that changes the primary of one database, run by the control leader.
 *
 * <p>The steps are:
 *
 * <ol>
 *   <li>Begin a term without a primary.
 *   <li>Wait until the term is in force, so that no VM still acknowledges a write of the previous
 *       primary.
 *   <li>Read the log positions of a majority of the group.
 *   <li>Promote the server with the highest position.
 *   <li>Complete the term with that server as primary.
 * </ol>
 *
 * <p>A write that a majority stored before it was acknowledged is therefore never lost. If an
 * external service promotes the servers, a {@link CommitQuorum} of the synchronous replicas decides
 * instead which servers hold every acknowledged commit. Only such a server is promoted, be it
 * leaving or the previous primary, unless none appears for a long time.
 *
 * <p>A leader continues only terms that it began itself, so that no term has two primaries.
 *
 * <p>This class is confined to one thread.
 */
final class GroupFailover {

  private static final long FIRST_TERM = 1;

  /** How long a step may take before it is abandoned or repeated. */
  private static final long STEP_TIMEOUT_MILLIS = 1_200;

  /** How long a preferred server may take to reach the highest known position. */
  private static final long CATCH_UP_LIMIT_MILLIS = 800;

  /** How long after a completed change another role announced by the primary is ignored. */
  private static final long ROLE_SETTLE_MILLIS = 2_000;

  /** The minimum interval between two role assignments to a server. */
  private static final long ASSIGNMENT_INTERVAL_MILLIS = 1_000;

  /** A replica whose data is older than this is assigned its role again. */
  private static final long MAX_REPLICA_AGE_MILLIS = 2_000;

  /** The interval between two position queries to a server that is catching up. */
  private static final long CATCH_UP_QUERY_INTERVAL_MILLIS = 150;

  /** How long the external service may take to reply before the request is repeated. */
  private static final long SERVICE_RETRY_INTERVAL_MILLIS = 1_500;

  /** How long a promotion by the external service may take before another term is begun. */
  private static final long SERVICE_TIMEOUT_MILLIS = 6_000;

  /**
   * How long a server that the external service has rejected is left out, after the first rejection
   * of a change. The service rejects a server that is down, and the server may be running again by
   * then. The time doubles with each further rejection, so that other servers are tried too.
   */
  private static final long REJECTION_MILLIS = 2_000;

  private static final int MAX_REJECTION_DOUBLINGS = 2;

  /**
   * How long a group with synchronous replicas remains without a primary while no known server is
   * certain to hold every acknowledged commit. A server that crashed returns with its log within
   * this time, as does the successor of one that was shut down. Afterwards the most advanced server
   * is promoted.
   */
  private static final long COMMIT_WAIT_LIMIT_MILLIS = 30_000;

  /**
   * How long a silent server counts as one that may hold commits. Longer than a change may wait, so
   * that a server that fell silent before the change counts to its end.
   */
  private static final long SILENT_SERVER_RETENTION_MILLIS = 2 * COMMIT_WAIT_LIMIT_MILLIS;

  /** How long a new primary must remain reachable until the next failure is another change. */
  private static final long CHANGE_SETTLE_MILLIS = 5_000;

  /**
   * How long a new leader waits for an announcement of the primary before it considers the primary
   * failed: long enough for two announcements and a repeated one.
   */
  private static final long ANNOUNCEMENT_WAIT_MILLIS = 3_500;

  /**
   * How long a primary that is leaving or evacuated and was promoted for want of another server
   * remains primary before the next attempt to replace it. Each attempt interrupts writes.
   */
  private static final long REPLACEMENT_RETRY_MILLIS = 2_000;

  private final String database;
  private final PromotionMode promotionMode;
  private final Map<String, Long> lastSentMillis = new HashMap<>();
  private final Map<String, LogPosition> positions = new HashMap<>();
  private long firstTickMillis = Long.MAX_VALUE;
  private Step step = Step.IDLE;
  private long stepStartMillis;
  private long begunTerm;
  private @Nullable String previousPrimary;
  private @Nullable String previousRegion;
  private long replacementRetryMillis = Long.MIN_VALUE;

  /** Whether the previous primary is suspected and therefore not asked for its position. */
  private boolean previousPrimaryLeftOut;

  /** Since when the database has needed another primary. */
  private OptionalLong changeSinceMillis = OptionalLong.empty();

  private @Nullable String promotionTarget;
  private boolean promotionMayLackCommits;
  private boolean promotionAccepted;
  private long lastServiceRequestMillis;
  private final Map<String, Rejections> rejections = new HashMap<>();
  private final RecentServers recentServers = new RecentServers(SILENT_SERVER_RETENTION_MILLIS);
  private long lastCompletionMillis = Long.MIN_VALUE / 2;
  private long lastCompletedTerm;

  private record Rejections(int count, long lastMillis) {

    long pauseMillis() {
      return REJECTION_MILLIS << Math.min(count - 1, MAX_REJECTION_DOUBLINGS);
    }
  }

  private enum Step {
    IDLE,
    BEGINNING_TERM,
    FENCING,
    READING_POSITIONS,
    CATCHING_UP,
    PROMOTING,
    COMPLETING_TERM
  }

  /**
   * The input of a tick.
   *
   * @param declared the database as configured
   * @param state the term and primary in the view
   * @param group the known servers of the database
   * @param suspect whether the reports of the VMs indicate that the primary is unreachable
   * @param termInForce whether the current term is in force on every VM
   * @param evacuatedDomains the evacuated failure domains
   * @param candidatePreference the order of candidates with equal positions, the preferred one
   *     first
   * @param now the current time on the leader's monotonic clock, in milliseconds
   */
  record Situation(
      Database declared,
      DatabaseState state,
      BackendGroup group,
      boolean suspect,
      boolean termInForce,
      Set<String> evacuatedDomains,
      Comparator<BackendServer> candidatePreference,
      long now) {}

  GroupFailover(String database, PromotionMode promotionMode) {
    this.database = database;
    this.promotionMode = promotionMode;
  }

  /** Advances the change of primary and returns the actions to carry out. */
  List<FailoverAction> tick(Situation situation) {
    firstTickMillis = Math.min(firstTickMillis, situation.now());
    if (situation.declared().synchronousReplicas() > 0) {
      recentServers.update(situation.group().servers().values(), situation.now());
    }
    List<FailoverAction> actions = new ArrayList<>();
    switch (step) {
      case IDLE -> tickIdle(situation, actions);
      case BEGINNING_TERM -> tickBeginningTerm(situation);
      case FENCING -> tickFencing(situation, actions);
      case READING_POSITIONS -> tickReadingPositions(situation, actions);
      case CATCHING_UP -> tickCatchingUp(situation, actions);
      case PROMOTING -> tickPromoting(situation, actions);
      case COMPLETING_TERM -> tickCompletingTerm(situation);
    }
    return actions;
  }

  /** Records the log position of a server. */
  void recordPosition(long term, String server, LogPosition position) {
    if (term == begunTerm && (step == Step.READING_POSITIONS || step == Step.CATCHING_UP)) {
      positions.merge(server, position, LogPosition::max);
    }
  }

  /** Handles the confirmation of a server that it is the primary of a term. */
  Optional<FailoverAction> confirmPromotion(long term, String server, long startOffset, long now) {
    if (term != begunTerm || step != Step.PROMOTING || !server.equals(promotionTarget)) {
      return Optional.empty();
    }
    return Optional.of(completeTerm(server, startOffset, now));
  }

  /** Handles the reply of the external service to a promotion request. */
  void handlePromotionReply(FailoverAction.RequestPromotion request, boolean accepted, long now) {
    boolean current =
        step == Step.PROMOTING
            && request.term() == begunTerm
            && request.server().equals(promotionTarget);
    if (!current) {
      return;
    }
    if (accepted) {
      promotionAccepted = true;
    } else {
      rejections.merge(
          request.server(),
          new Rejections(1, now),
          (before, latest) -> new Rejections(before.count() + 1, now));
      restartInNewTerm(now);
    }
  }

  private void tickIdle(Situation situation, List<FailoverAction> actions) {
    DatabaseState state = situation.state();
    if (lastCompletedTerm != state.completedTerm()) {
      lastCompletedTerm = state.completedTerm();
      lastCompletionMillis = situation.now();
    }
    if (needsPrimaryChange(situation)) {
      boolean planned = state.primary() != null && isPrimaryReachable(situation);
      if (planned || changeSinceMillis.isEmpty()) {
        changeSinceMillis = OptionalLong.of(situation.now());
      }
      previousPrimary = state.primary();
      previousRegion =
          primaryServer(situation).map(server -> server.announcement().region()).orElse(null);
      previousPrimaryLeftOut = situation.suspect();
      begunTerm = state.term() + 1;
      enterStep(Step.BEGINNING_TERM, situation.now());
      actions.add(new FailoverAction.Propose(new ViewCommand.BeginTerm(database, begunTerm)));
      return;
    }
    if (state.primary() != null && situation.now() - lastCompletionMillis >= CHANGE_SETTLE_MILLIS) {
      changeSinceMillis = OptionalLong.empty();
    }
    assignFollowers(situation, actions);
  }

  private static boolean isPrimaryReachable(Situation situation) {
    return !situation.suspect() && primaryServer(situation).isPresent();
  }

  private boolean needsPrimaryChange(Situation situation) {
    DatabaseState state = situation.state();
    if (!hasEnoughServers(situation)) {
      return false;
    }
    String primary = state.primary();
    if (primary == null) {
      return !isAwaitingPrimaryAnnouncement(situation);
    }
    boolean settled = situation.now() - lastCompletionMillis >= ROLE_SETTLE_MILLIS;
    Optional<BackendServer> server = situation.group().server(primary);
    boolean demoted =
        settled && server.isPresent() && server.get().announcement().role() != ServerRole.PRIMARY;
    boolean toBeReplaced =
        server.isPresent()
            && isToBeReplaced(server.get(), situation)
            && situation.now() >= replacementRetryMillis;
    boolean missing =
        promotionMode instanceof PromotionMode.ByService
            && server.isEmpty()
            && hasAnnouncementWaitElapsed(situation);
    return situation.suspect()
        || demoted
        || missing
        || (toBeReplaced && hasSuccessor(situation, primary));
  }

  private boolean isToBeReplaced(BackendServer primary, Situation situation) {
    return primary.announcement().leaving() || preference(situation).isEvacuated(primary);
  }

  /**
   * Returns whether a group that is managed by the external service may still announce a primary.
   * Such a group already has one, but announcements of its replicas may arrive first.
   */
  private boolean isAwaitingPrimaryAnnouncement(Situation situation) {
    return promotionMode instanceof PromotionMode.ByService
        && situation.state().starts().isEmpty()
        && existingPrimary(situation).isEmpty()
        && !hasAnnouncementWaitElapsed(situation);
  }

  private boolean hasAnnouncementWaitElapsed(Situation situation) {
    return situation.now() - firstTickMillis >= ANNOUNCEMENT_WAIT_MILLIS;
  }

  private boolean hasEnoughServers(Situation situation) {
    int known = situation.group().servers().size();
    return switch (promotionMode) {
      case PromotionMode.ByServer byServer -> known >= situation.declared().majority();
      case PromotionMode.ByService byService ->
          situation.state().primary() == null
              ? known >= 1
              : situation.group().servers().keySet().stream()
                  .anyMatch(name -> !name.equals(situation.state().primary()));
    };
  }

  private boolean hasSuccessor(Situation situation, String primary) {
    PromotionPreference preference = preference(situation);
    return situation.group().servers().values().stream()
        .filter(server -> !preference.isEvacuated(server))
        .anyMatch(server -> !server.name().equals(primary) && !server.announcement().leaving());
  }

  private PromotionPreference preference(Situation situation) {
    return new PromotionPreference(situation.evacuatedDomains(), previousRegion);
  }

  private static Optional<BackendServer> primaryServer(Situation situation) {
    String primary = situation.state().primary();
    return primary == null ? Optional.empty() : situation.group().server(primary);
  }

  private void tickBeginningTerm(Situation situation) {
    if (situation.state().term() == begunTerm && situation.state().primary() == null) {
      enterStep(Step.FENCING, situation.now());
    } else if (isStepOverdue(situation.now()) || situation.state().term() > begunTerm) {
      enterStep(Step.IDLE, situation.now());
    }
  }

  private void tickFencing(Situation situation, List<FailoverAction> actions) {
    if (abandonIfTermSuperseded(situation) || !situation.termInForce()) {
      return;
    }
    positions.clear();
    Optional<BackendServer> existing = existingPrimary(situation);
    if (existing.isPresent()) {
      adoptPrimary(existing.get().name(), situation, actions);
      return;
    }
    enterStep(Step.READING_POSITIONS, situation.now());
    for (BackendServer server : situation.group().servers().values()) {
      if (isQueriedForPosition(server)) {
        actions.add(query(server, 0, 0));
      }
    }
  }

  /**
   * Makes the existing primary of the group the primary of the term.
   *
   * <p>No call to the service is needed in the first term. In a later term the service may still
   * carry out a call of an earlier term until it has seen a newer fencing token, so the primary is
   * promoted by a call with the current token.
   */
  private void adoptPrimary(String primary, Situation situation, List<FailoverAction> actions) {
    if (begunTerm > FIRST_TERM) {
      startPromotion(primary, false, situation, actions);
      return;
    }
    actions.add(completeTerm(primary, 0, situation.now()));
  }

  private FailoverAction completeTerm(String primary, long startOffset, long now) {
    enterStep(Step.COMPLETING_TERM, now);
    return new FailoverAction.Propose(
        new ViewCommand.CompleteTerm(database, begunTerm, primary, startOffset));
  }

  /** Returns the announced primary of an externally managed group without a completed term. */
  private Optional<BackendServer> existingPrimary(Situation situation) {
    boolean firstPrimary =
        promotionMode instanceof PromotionMode.ByService && situation.state().starts().isEmpty();
    return firstPrimary
        ? situation.group().servers().values().stream()
            .filter(server -> server.announcement().role() == ServerRole.PRIMARY)
            .findFirst()
        : Optional.empty();
  }

  /**
   * Returns whether a server is queried for its position. With the external service, a suspected
   * previous primary is left out at first, since waiting for its reply would only delay the change.
   */
  private boolean isQueriedForPosition(BackendServer server) {
    return promotionMode instanceof PromotionMode.ByServer
        || !previousPrimaryLeftOut
        || !server.name().equals(previousPrimary);
  }

  private void tickReadingPositions(Situation situation, List<FailoverAction> actions) {
    if (abandonIfTermSuperseded(situation)) {
      return;
    }
    boolean allKnown =
        situation.group().servers().values().stream()
            .filter(this::isQueriedForPosition)
            .allMatch(server -> positions.containsKey(server.name()));
    boolean enoughPositions = positions.size() >= requiredPositions(situation);
    boolean overdue = isStepOverdue(situation.now());
    long waited = situation.now() - stepStartMillis;
    if (enoughPositions && (allKnown || waited >= PrimaryProbeMonitor.TIMEOUT_MILLIS / 2)) {
      enterStep(Step.CATCHING_UP, situation.now());
      tickCatchingUp(situation, actions);
    } else if (overdue && !positions.isEmpty() && mayGiveUpCommits(situation)) {
      enterStep(Step.CATCHING_UP, situation.now());
    } else if (overdue) {
      readPositionsAgain(situation);
    }
  }

  /** Returns how many positions must be known before a server is chosen. */
  private int requiredPositions(Situation situation) {
    return switch (promotionMode) {
      case PromotionMode.ByServer byServer -> situation.declared().majority();
      case PromotionMode.ByService byService -> quorum(situation).requiredPositions();
    };
  }

  private CommitQuorum quorum(Situation situation) {
    Database declared = situation.declared();
    return new CommitQuorum(
        Math.max(declared.servers(), recentServers.count()), declared.synchronousReplicas());
  }

  /**
   * Returns whether the database has been without a primary for so long that a server is promoted
   * that may lack acknowledged commits.
   */
  private boolean mayGiveUpCommits(Situation situation) {
    return promotionMode instanceof PromotionMode.ByService
        && changeSinceMillis.isPresent()
        && situation.now() - changeSinceMillis.getAsLong() >= COMMIT_WAIT_LIMIT_MILLIS;
  }

  /** Queries all servers again, the previous primary included: it may have returned. */
  private void readPositionsAgain(Situation situation) {
    previousPrimaryLeftOut = false;
    enterStep(Step.FENCING, situation.now());
  }

  /**
   * Chooses a preferred server at the highest known position. If there is none, waits up to {@link
   * #CATCH_UP_LIMIT_MILLIS} for one to catch up, and then chooses the most advanced candidate. If
   * there is no candidate either, the positions are read again.
   */
  private void tickCatchingUp(Situation situation, List<FailoverAction> actions) {
    if (abandonIfTermSuperseded(situation)) {
      return;
    }
    LogPosition highest = positions.values().stream().max(Comparator.naturalOrder()).orElseThrow();
    Optional<BackendServer> best =
        candidates(situation).stream()
            .filter(server -> isPreferred(server, situation))
            .filter(server -> highest.equals(positions.get(server.name())))
            .filter(server -> includesEveryCommit(server, situation))
            .findFirst();
    boolean waitElapsed = situation.now() - stepStartMillis >= CATCH_UP_LIMIT_MILLIS;
    if (best.isEmpty() && !waitElapsed) {
      actions.addAll(queryPreferredServers(situation, highest));
      return;
    }
    Optional<BackendServer> server = best.or(() -> mostAdvancedCandidate(situation));
    if (server.isEmpty()) {
      readPositionsAgain(situation);
      return;
    }
    switch (promotionMode) {
      case PromotionMode.ByServer byServer -> {
        promotionTarget = server.get().name();
        enterStep(Step.PROMOTING, situation.now());
        actions.add(assignRole(server.get(), begunTerm, null));
      }
      case PromotionMode.ByService byService ->
          startPromotion(
              server.get().name(),
              !includesEveryCommit(server.get(), situation),
              situation,
              actions);
    }
  }

  private void startPromotion(
      String server, boolean mayLackCommits, Situation situation, List<FailoverAction> actions) {
    promotionTarget = server;
    promotionMayLackCommits = mayLackCommits;
    promotionAccepted = false;
    enterStep(Step.PROMOTING, situation.now());
    requestPromotion(situation, actions);
  }

  /**
   * Returns the candidate with the highest position. With the external service, only a server that
   * holds every acknowledged commit is returned, one that is not preferred only if there is no
   * other, and one of an evacuated failure domain last; any server once the commits may be given
   * up. Otherwise a server of an evacuated failure domain is left out unless the others may lack an
   * acknowledged write.
   */
  private Optional<BackendServer> mostAdvancedCandidate(Situation situation) {
    List<BackendServer> candidates = candidates(situation);
    Comparator<BackendServer> byPosition =
        Comparator.comparing(server -> requireNonNull(positions.get(server.name())));
    return switch (promotionMode) {
      case PromotionMode.ByServer byServer -> {
        int required = situation.declared().servers() - situation.declared().majority() + 1;
        yield preference(situation).withoutEvacuated(candidates, required).stream().max(byPosition);
      }
      case PromotionMode.ByService byService -> {
        List<BackendServer> complete =
            candidates.stream().filter(server -> includesEveryCommit(server, situation)).toList();
        yield complete.stream()
            .filter(server -> isPreferred(server, situation))
            .max(byPosition)
            .or(() -> preference(situation).withoutEvacuated(complete, 1).stream().max(byPosition))
            .or(
                () ->
                    mayGiveUpCommits(situation)
                        ? candidates.stream().max(byPosition)
                        : Optional.empty());
      }
    };
  }

  /**
   * Returns whether a server with a known position holds every acknowledged commit. Where servers
   * are promoted directly, the number of known positions ensures this for the most advanced one.
   */
  private boolean includesEveryCommit(BackendServer server, Situation situation) {
    LogPosition position = requireNonNull(positions.get(server.name()));
    return promotionMode instanceof PromotionMode.ByServer
        || quorum(situation).includesEveryCommit(position, positions.values());
  }

  private void requestPromotion(Situation situation, List<FailoverAction> actions) {
    lastServiceRequestMillis = situation.now();
    actions.add(
        new FailoverAction.RequestPromotion(
            database,
            begunTerm,
            requireNonNull(promotionTarget, "promotionTarget"),
            situation.state().fence(),
            positions,
            promotionMayLackCommits));
  }

  private List<FailoverAction> queryPreferredServers(Situation situation, LogPosition highest) {
    List<FailoverAction> queries = new ArrayList<>();
    for (BackendServer server : candidates(situation)) {
      long interval =
          promotionMode instanceof PromotionMode.ByService
              ? CATCH_UP_QUERY_INTERVAL_MILLIS
              : CATCH_UP_LIMIT_MILLIS;
      boolean due = markSentIfDue(server.name(), situation.now(), interval);
      if (isPreferred(server, situation) && due) {
        queries.add(query(server, highest.offset(), CATCH_UP_LIMIT_MILLIS));
      }
    }
    return queries;
  }

  /** Returns whether the server is neither the previous primary nor leaving nor evacuated. */
  private boolean isPreferred(BackendServer server, Situation situation) {
    return !server.name().equals(previousPrimary)
        && !server.announcement().leaving()
        && !preference(situation).isEvacuated(server);
  }

  /**
   * Returns the servers with a known position that the service has not rejected recently, sorted by
   * the preference among equal positions and then by name.
   */
  private List<BackendServer> candidates(Situation situation) {
    List<BackendServer> candidates = new ArrayList<>(situation.group().servers().values());
    candidates.removeIf(
        server ->
            !positions.containsKey(server.name()) || isRejected(server.name(), situation.now()));
    candidates.sort(
        situation
            .candidatePreference()
            .thenComparing(preference(situation).tieBreak())
            .thenComparing(BackendServer::name));
    return candidates;
  }

  /** Returns whether the service has rejected a server a short time ago. */
  private boolean isRejected(String server, long now) {
    Rejections rejected = rejections.get(server);
    return rejected != null && now - rejected.lastMillis() < rejected.pauseMillis();
  }

  private void tickPromoting(Situation situation, List<FailoverAction> actions) {
    if (abandonIfTermSuperseded(situation)) {
      return;
    }
    switch (promotionMode) {
      case PromotionMode.ByServer byServer -> {
        if (isStepOverdue(situation.now())) {
          restartInNewTerm(situation.now());
        }
      }
      case PromotionMode.ByService byService -> tickPromotingByService(situation, actions);
    }
  }

  /**
   * Completes the term once the service has accepted the promotion and the server has announced
   * itself as primary.
   *
   * <p>The announcement alone is not enough: only after accepting the promotion does the service
   * reject every older call that it might otherwise carry out late. An announcement from before the
   * first call is ignored, since it may refer to an earlier term.
   */
  private void tickPromotingByService(Situation situation, List<FailoverAction> actions) {
    String server = requireNonNull(promotionTarget, "promotionTarget");
    boolean announcedAsPrimary =
        situation
            .group()
            .server(server)
            .filter(known -> known.announcement().role() == ServerRole.PRIMARY)
            .filter(known -> known.announcedAtMillis() >= stepStartMillis)
            .isPresent();
    if (promotionAccepted && announcedAsPrimary) {
      rejections.clear();
      actions.add(completeTerm(server, 0, situation.now()));
    } else if (situation.now() - stepStartMillis >= SERVICE_TIMEOUT_MILLIS) {
      restartInNewTerm(situation.now());
    } else if (!promotionAccepted
        && situation.now() - lastServiceRequestMillis >= SERVICE_RETRY_INTERVAL_MILLIS) {
      requestPromotion(situation, actions);
    }
  }

  private void tickCompletingTerm(Situation situation) {
    boolean done = situation.state().term() == begunTerm && situation.state().primary() != null;
    if (done) {
      lastCompletionMillis = situation.now();
      lastCompletedTerm = begunTerm;
      boolean toBeReplaced =
          primaryServer(situation).filter(server -> isToBeReplaced(server, situation)).isPresent();
      replacementRetryMillis =
          toBeReplaced ? situation.now() + REPLACEMENT_RETRY_MILLIS : Long.MIN_VALUE;
      lastSentMillis.clear();
      enterStep(Step.IDLE, situation.now());
    } else if (!abandonIfTermSuperseded(situation) && isStepOverdue(situation.now())) {
      restartInNewTerm(situation.now());
    }
  }

  /**
   * Returns to idle, from where another term is begun, because the promotion was rejected or its
   * outcome is unknown.
   */
  private void restartInNewTerm(long now) {
    enterStep(Step.IDLE, now);
  }

  /** Returns to idle if another term has begun; returns whether it did so. */
  private boolean abandonIfTermSuperseded(Situation situation) {
    boolean superseded = situation.state().term() != begunTerm;
    if (superseded) {
      enterStep(Step.IDLE, situation.now());
    }
    return superseded;
  }

  /**
   * Assigns the replica role to all other servers that announce themselves as primary, have another
   * term or lag behind. The external service does this itself.
   */
  private void assignFollowers(Situation situation, List<FailoverAction> actions) {
    if (promotionMode instanceof PromotionMode.ByService) {
      return;
    }
    DatabaseState state = situation.state();
    Optional<BackendServer> primary =
        state.primary() == null ? Optional.empty() : situation.group().server(state.primary());
    if (primary.isEmpty()) {
      return;
    }
    Collection<BackendServer> servers = situation.group().servers().values();
    for (BackendServer server : servers) {
      boolean isOther = !Objects.equals(server.name(), state.primary());
      boolean detached =
          server.announcement().role() == ServerRole.PRIMARY
              || server.position().term() != state.term()
              || server.announcement().ageMillis() > MAX_REPLICA_AGE_MILLIS;
      if (isOther
          && detached
          && markSentIfDue(server.name(), situation.now(), ASSIGNMENT_INTERVAL_MILLIS)) {
        actions.add(assignRole(server, state.term(), primary.get().announcement().address()));
      }
    }
  }

  /**
   * Returns whether the interval since the last message has passed, and if so records a new one.
   */
  private boolean markSentIfDue(String server, long now, long intervalMillis) {
    Long lastSent = lastSentMillis.get(server);
    boolean due = lastSent == null || now - lastSent >= intervalMillis;
    if (due) {
      lastSentMillis.put(server, now);
    }
    return due;
  }

  private FailoverAction query(BackendServer server, long minOffset, long waitMillis) {
    return new FailoverAction.QueryPosition(
        database, begunTerm, server.name(), server.announcement().address(), minOffset, waitMillis);
  }

  private FailoverAction assignRole(BackendServer server, long term, @Nullable String primary) {
    return new FailoverAction.AssignRole(
        database, term, server.name(), server.announcement().address(), primary);
  }

  private boolean isStepOverdue(long now) {
    return now - stepStartMillis >= STEP_TIMEOUT_MILLIS;
  }

  private void enterStep(Step next, long now) {
    step = next;
    stepStartMillis = now;
  }
}
