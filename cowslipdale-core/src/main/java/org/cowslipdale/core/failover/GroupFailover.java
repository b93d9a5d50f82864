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
  private static final long CATCH_UP_MILLIS = 800;
  private static final long SETTLE_MILLIS = 2_000;
  private static final long FOLLOW_INTERVAL_MILLIS = 1_000;
  private static final long STALE_REPLICA_MILLIS = 2_000;

  /** How often servers are asked again whether they have caught up, in milliseconds. */
  private static final long CATCH_UP_QUERY_MILLIS = 150;

  /** How long an outside service may take to answer before it is asked again, in milliseconds. */
  private static final long SERVICE_RETRY_MILLIS = 1_500;

  /** How long a promotion by an outside service may take before another one is begun. */
  private static final long SERVICE_TIMEOUT_MILLIS = 6_000;

  /**
   * How long a new leader waits to hear of the primary before it takes it to be gone, in
   * milliseconds: two announcements and a repeated one.
   */
  private static final long UNHEARD_MILLIS = 3_500;

  private final String database;
  private final Promotion promotion;
  private final Map<String, Long> orderedMillis = new HashMap<>();
  private final Map<String, LogPosition> positions = new HashMap<>();
  private long watchedSinceMillis = Long.MAX_VALUE;
  private Step step = Step.STEADY;
  private long stepMillis;
  private long ownTerm;
  private @Nullable String formerPrimary;
  private boolean formerPrimaryAnswers;
  private @Nullable String chosen;
  private boolean accepted;
  private long askedServiceMillis;
  private final Set<String> refused = new HashSet<>();
  private long completedMillis = Long.MIN_VALUE / 2;
  private long completedTerm;

  private enum Step {
    STEADY,
    BEGINNING,
    FENCING,
    READING,
    CATCHING_UP,
    PROMOTING,
    COMPLETING
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

  GroupFailover(String database, Promotion promotion) {
    this.database = database;
    this.promotion = promotion;
  }

  /** Advances the change of primary and returns what is to be done. */
  List<FailoverAction> tick(Situation situation) {
    watchedSinceMillis = Math.min(watchedSinceMillis, situation.now());
    List<FailoverAction> actions = new ArrayList<>();
    switch (step) {
      case STEADY -> steady(situation, actions);
      case BEGINNING -> beginning(situation);
      case FENCING -> fencing(situation, actions);
      case READING -> reading(situation, actions);
      case CATCHING_UP -> catchingUp(situation, actions);
      case PROMOTING -> promoting(situation, actions);
      case COMPLETING -> completing(situation);
    }
    return actions;
  }

  /** Takes in the position of a server. */
  void position(long term, String server, LogPosition position) {
    if (term == ownTerm && (step == Step.READING || step == Step.CATCHING_UP)) {
      positions.merge(server, position, LogPosition::max);
    }
  }

  /** Takes in a server's confirmation that it is the primary of a term. */
  Optional<FailoverAction> promoted(long term, String server, long startOffset, long now) {
    if (term != ownTerm || step != Step.PROMOTING || !server.equals(chosen)) {
      return Optional.empty();
    }
    return Optional.of(complete(server, startOffset, now));
  }

  /** Takes in the answer of the outside service. */
  void promotionAnswered(FailoverAction.Promote asked, boolean acceptedByService, long now) {
    boolean current =
        step == Step.PROMOTING && asked.term() == ownTerm && asked.server().equals(chosen);
    if (!current) {
      return;
    }
    if (acceptedByService) {
      accepted = true;
    } else {
      refused.add(asked.server());
      restart(now);
    }
  }

  private void steady(Situation situation, List<FailoverAction> actions) {
    DatabaseState state = situation.state();
    if (completedTerm != state.completedTerm()) {
      completedTerm = state.completedTerm();
      completedMillis = situation.now();
    }
    if (needsChange(situation)) {
      formerPrimary = state.primary();
      formerPrimaryAnswers = !situation.suspect();
      ownTerm = state.term() + 1;
      enter(Step.BEGINNING, situation.now());
      actions.add(new FailoverAction.Propose(new ViewCommand.BeginTerm(database, ownTerm)));
      return;
    }
    orderFollowers(situation, actions);
  }

  private boolean needsChange(Situation situation) {
    DatabaseState state = situation.state();
    if (!hasEnoughServers(situation)) {
      return false;
    }
    String primary = state.primary();
    if (primary == null) {
      return !mayStillAnnounceItsPrimary(situation);
    }
    boolean settled = situation.now() - completedMillis >= SETTLE_MILLIS;
    Optional<BackendServer> server = situation.group().server(primary);
    boolean demoted =
        settled && server.isPresent() && server.get().announcement().role() != ServerRole.PRIMARY;
    boolean leaving = server.isPresent() && server.get().announcement().leaving();
    boolean vanished =
        promotion instanceof Promotion.ByService && server.isEmpty() && isWatchedForLong(situation);
    return situation.suspect()
        || demoted
        || vanished
        || (leaving && hasSuccessor(situation, primary));
  }

  /** A group of an outside service has a primary already, which replicas may precede. */
  private boolean mayStillAnnounceItsPrimary(Situation situation) {
    return promotion instanceof Promotion.ByService
        && situation.state().starts().isEmpty()
        && presentPrimary(situation).isEmpty()
        && !isWatchedForLong(situation);
  }

  private boolean isWatchedForLong(Situation situation) {
    return situation.now() - watchedSinceMillis >= UNHEARD_MILLIS;
  }

  private boolean hasEnoughServers(Situation situation) {
    int known = situation.group().servers().size();
    return switch (promotion) {
      case Promotion.ByServer ordered -> known >= situation.declared().majority();
      case Promotion.ByService service ->
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

  private void beginning(Situation situation) {
    if (situation.state().term() == ownTerm && situation.state().primary() == null) {
      enter(Step.FENCING, situation.now());
    } else if (isOverdue(situation.now()) || situation.state().term() > ownTerm) {
      enter(Step.STEADY, situation.now());
    }
  }

  private void fencing(Situation situation, List<FailoverAction> actions) {
    if (abandonedByOthers(situation) || !situation.termInForce()) {
      return;
    }
    positions.clear();
    Optional<BackendServer> present = presentPrimary(situation);
    if (present.isPresent()) {
      adopt(present.get().name(), situation, actions);
      return;
    }
    enter(Step.READING, situation.now());
    for (BackendServer server : situation.group().servers().values()) {
      if (isAskedForPosition(server)) {
        actions.add(query(server, 0, 0));
      }
    }
  }

  /**
   * Takes the server as the primary that the group has; only in the first term without a call.
   *
   * <p>The service may still carry out a call of an earlier term, unless it has seen a newer fence.
   */
  private void adopt(String primary, Situation situation, List<FailoverAction> actions) {
    if (ownTerm > FIRST_TERM) {
      promote(primary, situation, actions);
      return;
    }
    actions.add(complete(primary, 0, situation.now()));
  }

  private FailoverAction complete(String primary, long startOffset, long now) {
    enter(Step.COMPLETING, now);
    return new FailoverAction.Propose(
        new ViewCommand.CompleteTerm(database, ownTerm, primary, startOffset));
  }

  /** Returns the primary that a group of an outside service had before this fleet knew it. */
  private Optional<BackendServer> presentPrimary(Situation situation) {
    boolean first =
        promotion instanceof Promotion.ByService && situation.state().starts().isEmpty();
    return first
        ? situation.group().servers().values().stream()
            .filter(server -> server.announcement().role() == ServerRole.PRIMARY)
            .findFirst()
        : Optional.empty();
  }

  /** A suspect primary would only delay the answers of the others. */
  private boolean isAskedForPosition(BackendServer server) {
    return promotion instanceof Promotion.ByServer
        || formerPrimaryAnswers
        || !server.name().equals(formerPrimary);
  }

  private void reading(Situation situation, List<FailoverAction> actions) {
    if (abandonedByOthers(situation)) {
      return;
    }
    boolean all =
        situation.group().servers().values().stream()
            .filter(this::isAskedForPosition)
            .allMatch(server -> positions.containsKey(server.name()));
    boolean majority = positions.size() >= positionsNeeded(situation);
    long waited = situation.now() - stepMillis;
    if (majority && (all || waited >= PrimaryProbe.TIMEOUT_MILLIS / 2)) {
      enter(Step.CATCHING_UP, situation.now());
      catchingUp(situation, actions);
    } else if (isOverdue(situation.now())) {
      enter(Step.FENCING, situation.now());
    }
  }

  /** A commit is acknowledged by the primary and as many replicas as the group waits for. */
  private int positionsNeeded(Situation situation) {
    return switch (promotion) {
      case Promotion.ByServer ordered -> situation.declared().majority();
      case Promotion.ByService service ->
          situation.declared().synchronousReplicas() == 0
              ? 1
              : situation.declared().servers() - situation.declared().synchronousReplicas();
    };
  }

  /** Prefers a healthy server, and waits a moment for it to reach the highest position. */
  private void catchingUp(Situation situation, List<FailoverAction> actions) {
    if (abandonedByOthers(situation)) {
      return;
    }
    LogPosition highest = positions.values().stream().max(Comparator.naturalOrder()).orElseThrow();
    Optional<BackendServer> best =
        candidates(situation).stream()
            .filter(server -> isPreferred(server))
            .filter(server -> highest.equals(positions.get(server.name())))
            .findFirst();
    boolean waited = situation.now() - stepMillis >= CATCH_UP_MILLIS;
    if (best.isEmpty() && !waited) {
      actions.addAll(queryPreferred(situation, highest));
      return;
    }
    Optional<BackendServer> server = best.or(() -> furthest(situation));
    if (server.isEmpty()) {
      enter(Step.FENCING, situation.now());
      return;
    }
    switch (promotion) {
      case Promotion.ByServer ordered -> {
        chosen = server.get().name();
        enter(Step.PROMOTING, situation.now());
        actions.add(order(server.get(), ownTerm, null));
      }
      case Promotion.ByService service -> promote(server.get().name(), situation, actions);
    }
  }

  private void promote(String server, Situation situation, List<FailoverAction> actions) {
    chosen = server;
    accepted = false;
    enter(Step.PROMOTING, situation.now());
    askService(situation, actions);
  }

  /** Returns the server that is furthest ahead; one that leaves only if there is no other. */
  private Optional<BackendServer> furthest(Situation situation) {
    List<BackendServer> candidates = candidates(situation);
    Comparator<BackendServer> byPosition =
        Comparator.comparing(server -> requireNonNull(positions.get(server.name())));
    return switch (promotion) {
      case Promotion.ByServer ordered -> candidates.stream().max(byPosition);
      case Promotion.ByService service ->
          candidates.stream()
              .filter(this::isPreferred)
              .max(byPosition)
              .or(() -> candidates.stream().max(byPosition));
    };
  }

  private void askService(Situation situation, List<FailoverAction> actions) {
    askedServiceMillis = situation.now();
    actions.add(
        new FailoverAction.Promote(
            database, ownTerm, requireNonNull(chosen, "chosen"), situation.state().fence()));
  }

  private List<FailoverAction> queryPreferred(Situation situation, LogPosition highest) {
    List<FailoverAction> queries = new ArrayList<>();
    for (BackendServer server : candidates(situation)) {
      long interval =
          promotion instanceof Promotion.ByService ? CATCH_UP_QUERY_MILLIS : CATCH_UP_MILLIS;
      boolean due = dueOrder(server.name(), situation.now(), interval);
      if (isPreferred(server) && due) {
        queries.add(query(server, highest.offset(), CATCH_UP_MILLIS));
      }
    }
    return queries;
  }

  private boolean isPreferred(BackendServer server) {
    return !server.name().equals(formerPrimary) && !server.announcement().leaving();
  }

  private List<BackendServer> candidates(Situation situation) {
    List<BackendServer> candidates = new ArrayList<>(situation.group().servers().values());
    candidates.removeIf(
        server -> !positions.containsKey(server.name()) || refused.contains(server.name()));
    candidates.sort(Comparator.comparing(BackendServer::name));
    return candidates;
  }

  private void promoting(Situation situation, List<FailoverAction> actions) {
    if (abandonedByOthers(situation)) {
      return;
    }
    switch (promotion) {
      case Promotion.ByServer ordered -> {
        if (isOverdue(situation.now())) {
          restart(situation.now());
        }
      }
      case Promotion.ByService service -> promotingByService(situation, actions);
    }
  }

  /**
   * Completes the term once the service has accepted the promotion and the server leads.
   *
   * <p>The acceptance is needed too: from then on the service refuses every older call that it may
   * still carry out late. An announcement from before the first call may tell of an earlier term.
   */
  private void promotingByService(Situation situation, List<FailoverAction> actions) {
    String server = requireNonNull(chosen, "chosen");
    boolean leads =
        situation
            .group()
            .server(server)
            .filter(known -> known.announcement().role() == ServerRole.PRIMARY)
            .filter(known -> known.announcedAtMillis() >= stepMillis)
            .isPresent();
    if (accepted && leads) {
      refused.clear();
      actions.add(complete(server, 0, situation.now()));
    } else if (situation.now() - stepMillis >= SERVICE_TIMEOUT_MILLIS) {
      restart(situation.now());
    } else if (!accepted && situation.now() - askedServiceMillis >= SERVICE_RETRY_MILLIS) {
      askService(situation, actions);
    }
  }

  private void completing(Situation situation) {
    boolean done = situation.state().term() == ownTerm && situation.state().primary() != null;
    if (done) {
      completedMillis = situation.now();
      completedTerm = ownTerm;
      orderedMillis.clear();
      enter(Step.STEADY, situation.now());
    } else if (!abandonedByOthers(situation) && isOverdue(situation.now())) {
      restart(situation.now());
    }
  }

  /** Begins another term, because the outcome of an order to this term's primary is not known. */
  private void restart(long now) {
    enter(Step.STEADY, now);
  }

  private boolean abandonedByOthers(Situation situation) {
    boolean abandoned = situation.state().term() != ownTerm;
    if (abandoned) {
      enter(Step.STEADY, situation.now());
    }
    return abandoned;
  }

  /** Orders servers that do not hold the current history to follow the primary. */
  private void orderFollowers(Situation situation, List<FailoverAction> actions) {
    if (promotion instanceof Promotion.ByService) {
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
              || server.announcement().ageMillis() > STALE_REPLICA_MILLIS;
      if (other && detached && dueOrder(server.name(), situation.now(), FOLLOW_INTERVAL_MILLIS)) {
        actions.add(order(server, state.term(), primary.get().announcement().address()));
      }
    }
  }

  private boolean dueOrder(String server, long now, long intervalMillis) {
    Long last = orderedMillis.get(server);
    boolean due = last == null || now - last >= intervalMillis;
    if (due) {
      orderedMillis.put(server, now);
    }
    return due;
  }

  private FailoverAction query(BackendServer server, long minOffset, long waitMillis) {
    return new FailoverAction.QueryPosition(
        database, ownTerm, server.name(), server.announcement().address(), minOffset, waitMillis);
  }

  private FailoverAction order(BackendServer server, long term, @Nullable String primary) {
    return new FailoverAction.Order(
        database, term, server.name(), server.announcement().address(), primary);
  }

  private boolean isOverdue(long now) {
    return now - stepMillis >= STEP_TIMEOUT_MILLIS;
  }

  private void enter(Step next, long now) {
    step = next;
    stepMillis = now;
  }
}
