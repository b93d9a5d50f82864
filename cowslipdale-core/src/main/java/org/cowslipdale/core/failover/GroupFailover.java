package org.cowslipdale.core.failover;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
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
 * The change of primary of one database, as one control leader conducts it.
 *
 * <p>The steps: begin a term without a primary; wait until it is in force, so that no VM
 * acknowledges a write of the former primary any more; read the positions of a majority of the
 * group; promote the highest; appoint it. A write that a majority had before it was acknowledged is
 * therefore never lost. A leader only continues terms that it began itself, so no term ever gets
 * two primaries. This class is confined to one thread.
 */
final class GroupFailover {

  private static final long FIRST_TERM = 1;
  private static final long STEP_TIMEOUT_MILLIS = 1_200;
  private static final long CATCH_UP_LIMIT_MILLIS = 800;
  private static final long ROLE_SETTLE_MILLIS = 2_000;
  private static final long ASSIGNMENT_INTERVAL_MILLIS = 1_000;
  private static final long MAX_REPLICA_AGE_MILLIS = 2_000;

  /** How often servers are asked again whether they have caught up, in milliseconds. */
  private static final long CATCH_UP_QUERY_INTERVAL_MILLIS = 150;

  /** How long an outside service may take to answer before it is asked again, in milliseconds. */
  private static final long SERVICE_RETRY_INTERVAL_MILLIS = 1_500;

  /** How long a promotion by an outside service may take before another one is begun. */
  private static final long SERVICE_TIMEOUT_MILLIS = 6_000;

  /**
   * How long a new leader waits to hear of the primary before it takes it to be gone, in
   * milliseconds: two announcements and a repeated one.
   */
  private static final long ANNOUNCEMENT_WAIT_MILLIS = 3_500;

  private final String database;
  private final PromotionMode promotionMode;
  private final Map<String, Long> lastSentMillis = new HashMap<>();
  private final Map<String, LogPosition> positions = new HashMap<>();
  private long firstTickMillis = Long.MAX_VALUE;
  private Step step = Step.IDLE;
  private long stepStartMillis;
  private long begunTerm;
  private @Nullable String previousPrimary;
  private boolean previousPrimaryReachable;
  private @Nullable String promotionTarget;
  private boolean promotionAccepted;
  private long lastServiceRequestMillis;
  private final Set<String> rejectedServers = new HashSet<>();
  private long lastCompletionMillis = Long.MIN_VALUE / 2;
  private long lastCompletedTerm;

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
   * What the coordinator knows at the present time.
   *
   * @param declared the database as declared
   * @param state the term and primary in the view
   * @param group the known servers
   * @param suspect whether the probing VMs agree that the primary is unreachable
   * @param termInForce whether the current term is in force on every VM
   * @param now the present time on the leader's monotonic clock, in milliseconds
   */
  record Situation(
      Database declared,
      DatabaseState state,
      BackendGroup group,
      boolean suspect,
      boolean termInForce,
      long now) {}

  GroupFailover(String database, PromotionMode promotion) {
    this.database = database;
    this.promotionMode = promotion;
  }

  /** Advances the change of primary and returns what is to be done. */
  List<FailoverAction> tick(Situation situation) {
    firstTickMillis = Math.min(firstTickMillis, situation.now());
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

  /** Takes in the position of a server. */
  void recordPosition(long term, String server, LogPosition position) {
    if (term == begunTerm && (step == Step.READING_POSITIONS || step == Step.CATCHING_UP)) {
      positions.merge(server, position, LogPosition::max);
    }
  }

  /** Takes in a server's confirmation that it is the primary of a term. */
  Optional<FailoverAction> confirmPromotion(long term, String server, long startOffset, long now) {
    if (term != begunTerm || step != Step.PROMOTING || !server.equals(promotionTarget)) {
      return Optional.empty();
    }
    return Optional.of(completeTerm(server, startOffset, now));
  }

  /** Takes in the answer of the outside service. */
  void handlePromotionReply(FailoverAction.RequestPromotion asked, boolean acceptedByService, long now) {
    boolean current =
        step == Step.PROMOTING && asked.term() == begunTerm && asked.server().equals(promotionTarget);
    if (!current) {
      return;
    }
    if (acceptedByService) {
      promotionAccepted = true;
    } else {
      rejectedServers.add(asked.server());
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
      previousPrimary = state.primary();
      previousPrimaryReachable = !situation.suspect();
      begunTerm = state.term() + 1;
      enterStep(Step.BEGINNING_TERM, situation.now());
      actions.add(new FailoverAction.Propose(new ViewCommand.BeginTerm(database, begunTerm)));
      return;
    }
    assignFollowers(situation, actions);
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
    boolean leaving = server.isPresent() && server.get().announcement().leaving();
    boolean vanished =
        promotionMode instanceof PromotionMode.ByService && server.isEmpty() && hasAnnouncementWaitElapsed(situation);
    return situation.suspect()
        || demoted
        || vanished
        || (leaving && hasSuccessor(situation, primary));
  }

  /** A group of an outside service has a primary already, which replicas may precede. */
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
      case PromotionMode.ByServer ordered -> known >= situation.declared().majority();
      case PromotionMode.ByService service ->
          situation.state().primary() == null
              ? known >= 1
              : situation.group().servers().keySet().stream()
                  .anyMatch(name -> !name.equals(situation.state().primary()));
    };
  }

  private static boolean hasSuccessor(Situation situation, String primary) {
    return situation.group().servers().values().stream()
        .anyMatch(server -> !server.name().equals(primary) && !server.announcement().leaving());
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
    Optional<BackendServer> present = existingPrimary(situation);
    if (present.isPresent()) {
      adoptPrimary(present.get().name(), situation, actions);
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
   * Takes the server as the primary that the group has; only in the first term without a call.
   *
   * <p>The service may still carry out a call of an earlier term, unless it has seen a newer fence.
   */
  private void adoptPrimary(String primary, Situation situation, List<FailoverAction> actions) {
    if (begunTerm > FIRST_TERM) {
      startPromotion(primary, situation, actions);
      return;
    }
    actions.add(completeTerm(primary, 0, situation.now()));
  }

  private FailoverAction completeTerm(String primary, long startOffset, long now) {
    enterStep(Step.COMPLETING_TERM, now);
    return new FailoverAction.Propose(
        new ViewCommand.CompleteTerm(database, begunTerm, primary, startOffset));
  }

  /** Returns the primary that a group of an outside service had before this fleet knew it. */
  private Optional<BackendServer> existingPrimary(Situation situation) {
    boolean first =
        promotionMode instanceof PromotionMode.ByService && situation.state().starts().isEmpty();
    return first
        ? situation.group().servers().values().stream()
            .filter(server -> server.announcement().role() == ServerRole.PRIMARY)
            .findFirst()
        : Optional.empty();
  }

  /** A suspect primary would only delay the answers of the others. */
  private boolean isQueriedForPosition(BackendServer server) {
    return promotionMode instanceof PromotionMode.ByServer
        || previousPrimaryReachable
        || !server.name().equals(previousPrimary);
  }

  private void tickReadingPositions(Situation situation, List<FailoverAction> actions) {
    if (abandonIfTermSuperseded(situation)) {
      return;
    }
    boolean all =
        situation.group().servers().values().stream()
            .filter(this::isQueriedForPosition)
            .allMatch(server -> positions.containsKey(server.name()));
    boolean majority = positions.size() >= requiredPositions(situation);
    long waited = situation.now() - stepStartMillis;
    if (majority && (all || waited >= PrimaryProbeMonitor.TIMEOUT_MILLIS / 2)) {
      enterStep(Step.CATCHING_UP, situation.now());
      tickCatchingUp(situation, actions);
    } else if (isStepOverdue(situation.now())) {
      enterStep(Step.FENCING, situation.now());
    }
  }

  /** A commit is acknowledged by the primary and as many replicas as the group waits for. */
  private int requiredPositions(Situation situation) {
    return switch (promotionMode) {
      case PromotionMode.ByServer ordered -> situation.declared().majority();
      case PromotionMode.ByService service ->
          situation.declared().synchronousReplicas() == 0
              ? 1
              : situation.declared().servers() - situation.declared().synchronousReplicas();
    };
  }

  /** Prefers a healthy server, and waits a moment for it to reach the highest position. */
  private void tickCatchingUp(Situation situation, List<FailoverAction> actions) {
    if (abandonIfTermSuperseded(situation)) {
      return;
    }
    LogPosition highest = positions.values().stream().max(Comparator.naturalOrder()).orElseThrow();
    Optional<BackendServer> best =
        candidates(situation).stream()
            .filter(server -> isPreferred(server))
            .filter(server -> highest.equals(positions.get(server.name())))
            .findFirst();
    boolean waited = situation.now() - stepStartMillis >= CATCH_UP_LIMIT_MILLIS;
    if (best.isEmpty() && !waited) {
      actions.addAll(queryPreferredServers(situation, highest));
      return;
    }
    Optional<BackendServer> server = best.or(() -> mostAdvancedCandidate(situation));
    if (server.isEmpty()) {
      enterStep(Step.FENCING, situation.now());
      return;
    }
    switch (promotionMode) {
      case PromotionMode.ByServer ordered -> {
        promotionTarget = server.get().name();
        enterStep(Step.PROMOTING, situation.now());
        actions.add(assignRole(server.get(), begunTerm, null));
      }
      case PromotionMode.ByService service -> startPromotion(server.get().name(), situation, actions);
    }
  }

  private void startPromotion(String server, Situation situation, List<FailoverAction> actions) {
    promotionTarget = server;
    promotionAccepted = false;
    enterStep(Step.PROMOTING, situation.now());
    requestPromotion(situation, actions);
  }

  /** Returns the server that is furthest ahead; one that leaves only if there is no other. */
  private Optional<BackendServer> mostAdvancedCandidate(Situation situation) {
    List<BackendServer> candidates = candidates(situation);
    Comparator<BackendServer> byPosition =
        Comparator.comparing(server -> requireNonNull(positions.get(server.name())));
    return switch (promotionMode) {
      case PromotionMode.ByServer ordered -> candidates.stream().max(byPosition);
      case PromotionMode.ByService service ->
          candidates.stream()
              .filter(this::isPreferred)
              .max(byPosition)
              .or(() -> candidates.stream().max(byPosition));
    };
  }

  private void requestPromotion(Situation situation, List<FailoverAction> actions) {
    lastServiceRequestMillis = situation.now();
    actions.add(
        new FailoverAction.RequestPromotion(
            database, begunTerm, requireNonNull(promotionTarget, "chosen"), situation.state().fence()));
  }

  private List<FailoverAction> queryPreferredServers(Situation situation, LogPosition highest) {
    List<FailoverAction> queries = new ArrayList<>();
    for (BackendServer server : candidates(situation)) {
      long interval =
          promotionMode instanceof PromotionMode.ByService ? CATCH_UP_QUERY_INTERVAL_MILLIS : CATCH_UP_LIMIT_MILLIS;
      boolean due = markSentIfDue(server.name(), situation.now(), interval);
      if (isPreferred(server) && due) {
        queries.add(query(server, highest.offset(), CATCH_UP_LIMIT_MILLIS));
      }
    }
    return queries;
  }

  private boolean isPreferred(BackendServer server) {
    return !server.name().equals(previousPrimary) && !server.announcement().leaving();
  }

  private List<BackendServer> candidates(Situation situation) {
    List<BackendServer> candidates = new ArrayList<>(situation.group().servers().values());
    candidates.removeIf(
        server -> !positions.containsKey(server.name()) || rejectedServers.contains(server.name()));
    candidates.sort(Comparator.comparing(BackendServer::name));
    return candidates;
  }

  private void tickPromoting(Situation situation, List<FailoverAction> actions) {
    if (abandonIfTermSuperseded(situation)) {
      return;
    }
    switch (promotionMode) {
      case PromotionMode.ByServer ordered -> {
        if (isStepOverdue(situation.now())) {
          restartInNewTerm(situation.now());
        }
      }
      case PromotionMode.ByService service -> tickPromotingByService(situation, actions);
    }
  }

  /**
   * Completes the term once the service has accepted the promotion and the server leads.
   *
   * <p>The acceptance is needed too: from then on the service refuses every older call that it may
   * still carry out late. An announcement from before the first call may tell of an earlier term.
   */
  private void tickPromotingByService(Situation situation, List<FailoverAction> actions) {
    String server = requireNonNull(promotionTarget, "chosen");
    boolean leads =
        situation
            .group()
            .server(server)
            .filter(known -> known.announcement().role() == ServerRole.PRIMARY)
            .filter(known -> known.announcedAtMillis() >= stepStartMillis)
            .isPresent();
    if (promotionAccepted && leads) {
      rejectedServers.clear();
      actions.add(completeTerm(server, 0, situation.now()));
    } else if (situation.now() - stepStartMillis >= SERVICE_TIMEOUT_MILLIS) {
      restartInNewTerm(situation.now());
    } else if (!promotionAccepted && situation.now() - lastServiceRequestMillis >= SERVICE_RETRY_INTERVAL_MILLIS) {
      requestPromotion(situation, actions);
    }
  }

  private void tickCompletingTerm(Situation situation) {
    boolean done = situation.state().term() == begunTerm && situation.state().primary() != null;
    if (done) {
      lastCompletionMillis = situation.now();
      lastCompletedTerm = begunTerm;
      lastSentMillis.clear();
      enterStep(Step.IDLE, situation.now());
    } else if (!abandonIfTermSuperseded(situation) && isStepOverdue(situation.now())) {
      restartInNewTerm(situation.now());
    }
  }

  /** Begins another term, because the outcome of an order to this term's primary is not known. */
  private void restartInNewTerm(long now) {
    enterStep(Step.IDLE, now);
  }

  private boolean abandonIfTermSuperseded(Situation situation) {
    boolean abandoned = situation.state().term() != begunTerm;
    if (abandoned) {
      enterStep(Step.IDLE, situation.now());
    }
    return abandoned;
  }

  /** Orders servers that do not hold the current history to follow the primary. */
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
      boolean other = !Objects.equals(server.name(), state.primary());
      boolean detached =
          server.announcement().role() == ServerRole.PRIMARY
              || server.position().term() != state.term()
              || server.announcement().ageMillis() > MAX_REPLICA_AGE_MILLIS;
      if (other && detached && markSentIfDue(server.name(), situation.now(), ASSIGNMENT_INTERVAL_MILLIS)) {
        actions.add(assignRole(server, state.term(), primary.get().announcement().address()));
      }
    }
  }

  private boolean markSentIfDue(String server, long now, long intervalMillis) {
    Long last = lastSentMillis.get(server);
    boolean due = last == null || now - last >= intervalMillis;
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
