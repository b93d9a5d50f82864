package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ThreadLocalRandom;
import org.cowslipdale.config.settings.Feature;
import org.cowslipdale.core.admission.RequestProfile;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.placement.HomeRegions;
import org.cowslipdale.core.result.Outcome;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.PositionSample;
import org.cowslipdale.core.routing.RelayedReads;
import org.cowslipdale.core.routing.SessionDemand;
import org.cowslipdale.core.routing.SessionTarget;
import org.cowslipdale.core.routing.SessionTarget.RunOn;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.ServerFailure;
import org.cowslipdale.core.statement.ServerReply;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.statement.Statement.PreparedStatement;
import org.cowslipdale.core.statement.TransactionState;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.SessionRoute;
import org.cowslipdale.core.view.View;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.session.StatementWaits.Cause;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.cowslipdale.daemon.version.CurrentView;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs statements of sessions on backend servers; the methods block the calling (virtual) thread.
 *
 * <p>A statement is sent again only if the server reported that it did not run, or if it only
 * reads. A statement that no server can run yet waits here until its limit has passed, because
 * callers abandon an operation after a few quick refusals.
 */
final class SessionRunner {

  private static final long INITIAL_RETRY_DELAY_MILLIS = 4;
  private static final long MAX_RETRY_DELAY_MILLIS = 40;

  /**
   * Subtracted from the deadline of a statement, so that a refusal reaches the caller before the
   * deadline.
   */
  private static final long ANSWER_MARGIN_MILLIS = 10;

  /**
   * The minimum time until the deadline for a statement to be sent; with less time left a reply is
   * unlikely to arrive before the deadline.
   */
  private static final long MIN_RUN_MILLIS = 60;

  /**
   * The time for which a read that other servers may also serve waits for a slot before it is
   * routed again: a few times the duration of a statement and the lag of a replica.
   */
  private static final long REROUTE_AFTER_MILLIS = 100;

  /**
   * The minimum wait for a reply after which reaching the deadline counts as a failure of the
   * server; a shorter wait does not show that the server is at fault.
   */
  private static final long MIN_UNANSWERED_MILLIS = 400;

  /** The number of failures of gateways after which a statement uses this VM's connections. */
  private static final int MAX_RELAY_FAILURES = 2;

  /** The timeout for the reply to a rollback, after which the connection is closed. */
  private static final long ROLLBACK_TIMEOUT_MILLIS = 1_000;

  private static final Logger LOG = LoggerFactory.getLogger(SessionRunner.class);

  private final SessionContext context;
  private final PrimaryChecker checker;

  /** Decides on statements that no server can run now; null without admission by priority. */
  private final @Nullable StatementAdmitter admitter;

  private final WaitMetrics waitMetrics = new WaitMetrics();

  SessionRunner(SessionContext context, PrimaryChecker checker) {
    this.context = requireNonNull(context, "context");
    this.checker = requireNonNull(checker, "checker");
    this.admitter =
        context.features().contains(Feature.PRIORITY_ADMISSION)
            ? new StatementAdmitter(context.clock())
            : null;
  }

  /** Returns the number of statements that admission by priority refused. */
  long refusedCount() {
    return admitter == null ? 0 : admitter.refusedCount();
  }

  /** Returns the time that statements spent waiting before they were sent. */
  WaitMetrics waitMetrics() {
    return waitMetrics;
  }

  /**
   * A request of a session to run a statement.
   *
   * @param operation the admitted operation to which the statement belongs
   * @param statement the statement
   * @param prepared the prepared statement to execute, or null if the statement does not execute
   *     one
   * @param values the values of the session
   * @param lastCommittedPosition the log position of the session's latest commit
   * @param deadlineMillis the time on the VM's monotonic clock by which the caller must receive a
   *     reply
   */
  record StatementRequest(
      AdmittedOperation operation,
      Statement statement,
      @Nullable PreparedStatement prepared,
      Map<String, String> values,
      LogPosition lastCommittedPosition,
      long deadlineMillis) {

    /** Returns whether only the primary can run the statement. */
    boolean requiresPrimary() {
      return isWrite() || operation.route().freshness() instanceof Freshness.Latest;
    }

    /**
     * Returns whether a successful reply proves that the server is the primary, if replaced
     * primaries refuse writes. A commit proves nothing even then, because they still commit
     * transactions that wrote nothing.
     */
    boolean provesPrimary() {
      return !(statement instanceof Statement.Commit) && isWrite();
    }

    /** Returns whether the statement only reads and does not begin a transaction. */
    boolean isSingleRead() {
      return !isWrite() && !(statement instanceof Statement.Begin);
    }

    int priority() {
      return Math.max(0, operation.route().priority());
    }

    /** Returns the properties that decide when the statement is dispatched. */
    RequestProfile profile() {
      SessionRoute route = operation.route();
      String kind = statement instanceof Statement.Begin ? "transaction" : "statement";
      return new RequestProfile(
          operation.customer(),
          priority(),
          receivedMillis() + route.targetMillis(),
          route.name() + "/" + kind + (isWrite() ? "/write" : "/read"));
    }

    /** Returns when the statement was received, on the VM's monotonic clock in milliseconds. */
    long receivedMillis() {
      return deadlineMillis - operation.route().statementLimitMillis();
    }

    /** Returns the class of statements that take a similar time on equal servers. */
    String statementClass() {
      String kind =
          switch (statement) {
            case Statement.Access access -> isWrite() ? "write" : "read";
            case Statement.Execute execute -> isWrite() ? "write" : "read";
            case Statement.Begin begin -> "begin";
            case Statement.Commit commit -> "commit";
            default -> "other";
          };
      return operation.route().name() + ' ' + kind;
    }

    boolean isWrite() {
      return switch (statement) {
        case Statement.Access access -> access.write();
        case Statement.Execute execute -> prepared != null && prepared.write();
        case Statement.Begin begin -> !begin.readOnly();
        default -> true;
      };
    }
  }

  /**
   * A transaction that has begun on a server.
   *
   * @param checkout the connection of the transaction
   * @param target the server
   * @param commitRequiresLease whether the transaction may have written and may be committed only
   *     under a lease
   */
  record BegunTransaction(Checkout checkout, RunOn target, boolean commitRequiresLease) {}

  /** Runs a single statement. */
  ServerReply run(StatementRequest request) throws RefusalException {
    return new RetryLoop<ServerReply>(request) {
      @Override
      Optional<ServerReply> attempt(RunOn target, Checkout checkout)
          throws RefusalException, BackendException {
        return runSingle(this, target, checkout);
      }
    }.run();
  }

  /** Begins a transaction on a server; the caller must close the returned checkout. */
  BegunTransaction begin(StatementRequest request) throws RefusalException {
    return new RetryLoop<BegunTransaction>(request) {
      @Override
      Optional<BegunTransaction> attempt(RunOn target, Checkout checkout)
          throws RefusalException, BackendException {
        return beginOn(this, target, checkout);
      }
    }.run();
  }

  /**
   * Runs a statement in a transaction, and repeats it while the server is busy and keeps the
   * transaction open.
   *
   * @throws BackendException if no complete reply arrived; the connection is unusable
   * @throws RefusalException if the statement was not sent, or with an unknown outcome if it is a
   *     commit that may not be acknowledged because the lease ended
   */
  ServerReply runInTransaction(BegunTransaction transaction, StatementRequest request)
      throws BackendException, RefusalException {
    boolean requiresLease =
        transaction.commitRequiresLease() && request.statement() instanceof Statement.Commit;
    long delay = INITIAL_RETRY_DELAY_MILLIS;
    while (true) {
      awaitSend(transaction.target(), request);
      if (requiresLease && !isCurrentPrimary(request, transaction.target())) {
        throw new RefusalException(ResultCode.NO_LEASE);
      }
      long sentMillis = context.clock().millis();
      ServerReply reply = execute(request, transaction.checkout(), null);
      recordAnswer(request, transaction.target(), reply, sentMillis);
      boolean retry =
          reply.failure() == ServerFailure.BUSY && reply.state() == TransactionState.OPEN;
      if (!retry || context.clock().millis() + delay >= request.deadlineMillis()) {
        if (requiresLease && reply.failure() == null) {
          requireCurrentPrimary(request, transaction.target());
        }
        return reply;
      }
      sleep(delay);
      delay = Math.min(MAX_RETRY_DELAY_MILLIS, delay * 2);
    }
  }

  /**
   * Waits until the limit of a cold server allows another statement, and counts it.
   *
   * @throws RefusalException if that is after the statement's deadline; the transaction must end
   */
  private void awaitSend(RunOn target, StatementRequest request) throws RefusalException {
    while (true) {
      long now = context.clock().millis();
      View view = context.views().get().view();
      BackendServer server = currentServer(target);
      if (context.coldStartLimit().trySend(server, view, now)) {
        return;
      }
      long untilMillis = context.coldStartLimit().notBeforeMillis(server, view, now);
      if (untilMillis >= request.deadlineMillis() - MIN_RUN_MILLIS) {
        logColdRefusal(request, server.name(), untilMillis);
        throw new RefusalException(
            ResultCode.TRANSACTION_ABORTED,
            "The server takes no statement before the deadline because it has just started.");
      }
      sleep(Math.clamp(untilMillis - now, 1, REROUTE_AFTER_MILLIS));
    }
  }

  private BackendServer currentServer(RunOn target) {
    BackendServer server = target.server();
    return context
        .registry()
        .group(server.announcement().database())
        .server(server.name())
        .orElse(server);
  }

  private void logColdRefusal(StatementRequest request, String server, long untilMillis) {
    long now = context.clock().millis();
    View view = context.views().get().view();
    String database = request.operation().route().database();
    Database declared = view.configuration().databases().get(database);
    double rate = declared == null ? 0 : declared.coldRequestsPerSecond();
    DecisionLog.line(LogEvent.COLD_SERVER_LIMITED)
        .with("request", request.statement().id())
        .with("database", database)
        .with("server", server)
        .with("rate", rate)
        .with("share", context.coldStartLimit().share(server, view, rate))
        .with("vms", view.vms().size())
        .with("next_ms", untilMillis - now)
        .with("left_ms", request.deadlineMillis() - now)
        .write();
  }

  /**
   * Rolls a transaction back without waiting for the server's reply. If the limit of a cold server
   * does not allow a rollback now, its connection is closed, and the server rolls back itself.
   */
  void rollBack(BegunTransaction transaction, Statement.Rollback statement) {
    boolean permitted =
        context
            .coldStartLimit()
            .trySend(
                currentServer(transaction.target()),
                context.views().get().view(),
                context.clock().millis());
    if (!permitted) {
      transaction.checkout().close();
      return;
    }
    Thread.startVirtualThread(
        () -> {
          try {
            ServerReply reply =
                transaction.checkout().execute(statement, null, null, ROLLBACK_TIMEOUT_MILLIS);
            if (reply.failure() == null && reply.state() == TransactionState.IDLE) {
              transaction.checkout().markClean();
            }
          } catch (BackendException e) {
            LOG.debug("Rollback received no reply; closing the connection", e);
          } finally {
            transaction.checkout().close();
          }
        });
  }

  /**
   * Routes a statement to servers repeatedly until one of them runs it or its deadline has passed.
   */
  private abstract class RetryLoop<T> {

    private final StatementRequest request;
    private final Set<String> triedServers = new HashSet<>();
    private long retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
    private final long startedMillis;
    private ResultCode lastFailureCode = ResultCode.WAIT_LIMIT_REACHED;
    private boolean sent;
    private boolean serverBusy;
    private boolean serverAtFault = true;
    private int relayFailures;
    private final StatementWaits waits = new StatementWaits();

    RetryLoop(StatementRequest request) {
      this.request = request;
      this.startedMillis = context.clock().millis();
      waits.add(Cause.ADMISSION, startedMillis - request.receivedMillis());
    }

    /** Runs the statement on one server; returns empty if it may be tried on another server. */
    abstract Optional<T> attempt(RunOn target, Checkout checkout)
        throws RefusalException, BackendException;

    /**
     * Runs the statement, and returns the customer's token if the statement was sent to no server.
     */
    T run() throws RefusalException {
      ResultCode refusal = null;
      try {
        return runWithRetries();
      } catch (RefusalException e) {
        refusal = e.code();
        if (!sent) {
          context.limiter().returnToken(request.operation().customer());
        }
        throw e;
      } finally {
        recordWaits(refusal);
      }
    }

    private void recordWaits(@Nullable ResultCode refusal) {
      waitMetrics.add(waits);
      SessionRoute route = request.operation().route();
      if (refusal == null && waits.totalMillis() <= route.targetMillis() / 2) {
        return;
      }
      DecisionLog.Line line =
          DecisionLog.line(LogEvent.STATEMENT_WAITED)
              .with("request", request.statement().id())
              .with("customer", request.operation().customer())
              .with("database", route.database())
              .with("route", route.name())
              .with("write", request.isWrite())
              .with("requires_primary", request.requiresPrimary())
              .with("code", refusal)
              .with("sent", sent)
              .with("took_ms", context.clock().millis() - request.receivedMillis());
      waits.describe(line).write();
    }

    private void sleepFor(long millis, ResultCode code) throws RefusalException {
      sleep(millis);
      waits.add(StatementWaits.causeOf(code), millis);
    }

    private T runWithRetries() throws RefusalException {
      while (true) {
        if (Thread.currentThread().isInterrupted()) {
          throw new RefusalException(ResultCode.SHUTTING_DOWN);
        }
        switch (route()) {
          case SessionTarget.Wait wait -> awaitRoute(wait);
          case SessionTarget.Refuse refuse -> throw new RefusalException(refuse.code());
          case SessionTarget.NotBefore notBefore -> awaitOrRefuse(notBefore);
          case RunOn target -> {
            Optional<T> result = tryServer(target);
            if (result.isPresent()) {
              if (admitter != null) {
                admitter.recordRun(request);
              }
              return result.get();
            }
            handleRejection(target);
          }
        }
      }
    }

    private Optional<T> tryServer(RunOn target) throws RefusalException {
      Checkout checkout;
      long lastStartMillis = request.deadlineMillis() - MIN_RUN_MILLIS;
      long rerouteMillis =
          request.requiresPrimary()
              ? lastStartMillis
              : Math.min(lastStartMillis, context.clock().millis() + REROUTE_AFTER_MILLIS);
      try {
        checkout = context.pools().acquire(createDemand(target, rerouteMillis, lastStartMillis));
      } catch (BackendException e) {
        handleConnectFailure(target, e);
        return Optional.empty();
      } catch (RefusalException e) {
        lastFailureCode = e.code();
        if (request.requiresPrimary()) {
          throw admitter == null || e.code() == ResultCode.SHUTTING_DOWN
              ? e
              : admitter.queueRefusal(request, e.code());
        }
        return Optional.empty();
      }
      long sentMillis = context.clock().millis();
      if (request.deadlineMillis() - sentMillis < MIN_RUN_MILLIS) {
        checkout.markClean();
        checkout.close();
        throw new RefusalException(ResultCode.WAIT_LIMIT_REACHED);
      }
      if (isEvacuated(target)) {
        checkout.markClean();
        checkout.close();
        lastFailureCode = ResultCode.SERVER_EVACUATED;
        return Optional.empty();
      }
      boolean prepared = false;
      boolean sentBefore = sent;
      try {
        Optional<RunOn> confirmed = confirm(target.server());
        if (confirmed.isPresent()) {
          prepareConnection(checkout);
          prepared = true;
          confirmed = confirm(target.server()).filter(RetryLoop.this::countSend);
        }
        if (confirmed.isEmpty()) {
          checkout.markClean();
          checkout.close();
          lastFailureCode =
              isLimited(target.server())
                  ? ResultCode.OVERLOADED
                  : request.isWrite() && !target.leaseRequired()
                      ? ResultCode.NO_PRIMARY
                      : ResultCode.NO_LEASE;
          return Optional.empty();
        }
        if (!context
            .backoff()
            .trySend(target.server().name(), request.priority(), context.clock().millis())) {
          checkout.markClean();
          checkout.close();
          serverBusy = true;
          return Optional.empty();
        }
        sent = true;
        return attempt(confirmed.get(), checkout);
      } catch (RelayException e) {
        checkout.close();
        sent = sentBefore || e.mayHaveReachedServer();
        handleRelayFailure(target, e);
        return Optional.empty();
      } catch (BackendException e) {
        checkout.close();
        if (e.failure().isPresent()) {
          sent = sentBefore;
          handleConnectFailure(target, e);
          return Optional.empty();
        }
        handleBrokenConnection(
            target, e, prepared && e.mayHaveReachedServer(), context.clock().millis() - sentMillis);
        return Optional.empty();
      } catch (RefusalException | RuntimeException e) {
        checkout.close();
        throw e;
      }
    }

    /**
     * Returns whether the server was evacuated while the statement waited for a connection. Not
     * even the commands that set session values may be sent to it then.
     */
    private boolean isEvacuated(RunOn target) {
      CurrentView current = context.views().get();
      return !current
          .evacuations()
          .permits(target.server(), target.asPrimary(), context.clock().millis());
    }

    /** Sends the commands that the statement requires first on its connection. */
    private void prepareConnection(Checkout checkout) throws BackendException {
      checkout.applyValues(request.values(), remainingMillis());
      PreparedStatement prepared = request.prepared();
      if (prepared != null) {
        checkout.prepare(prepared, remainingMillis());
      }
    }

    private ConnectionDemand createDemand(
        RunOn target, long slotDeadlineMillis, long deadlineMillis) {
      return new ConnectionDemand(
          target.server(),
          context.views().get(),
          request.profile(),
          homeRegions(context.views().get()).regions(),
          request.values(),
          request.prepared(),
          request.isSingleRead(),
          relayFailures < MAX_RELAY_FAILURES,
          slotDeadlineMillis,
          deadlineMillis,
          waits);
    }

    private SessionTarget route() {
      CurrentView current = context.views().get();
      String database = request.operation().route().database();
      return context
          .router()
          .route(
              createDemand(current),
              context.registry().group(database),
              current.view().database(database),
              current.lease(),
              context.positions().historyOf(database),
              current.evacuations(),
              context.clock().millis());
    }

    private Optional<RunOn> confirm(BackendServer server) {
      CurrentView current = context.views().get();
      String database = request.operation().route().database();
      return context
          .router()
          .confirm(
              context.registry().group(database).server(server.name()).orElse(server),
              createDemand(current),
              current.view().database(database),
              current.lease(),
              context.positions().historyOf(database),
              current.evacuations(),
              context.clock().millis());
    }

    private SessionDemand createDemand(CurrentView current) {
      return new SessionDemand(
          request.operation().customer(),
          request.isWrite(),
          request.operation().route().freshness(),
          request.lastCommittedPosition(),
          triedServers,
          homeRegions(current),
          (server, now) -> context.coldStartLimit().notBeforeMillis(server, current.view(), now),
          request.priority(),
          isSynchronouslyReplicated(current.view()));
    }

    private boolean isSynchronouslyReplicated(View view) {
      Database declared =
          view.configuration().databases().get(request.operation().route().database());
      return declared != null && declared.synchronousReplicas() > 0;
    }

    /** Counts the statement against the limit of a cold server; returns whether it may be sent. */
    private boolean countSend(RunOn confirmed) {
      return context
          .coldStartLimit()
          .trySend(confirmed.server(), context.views().get().view(), context.clock().millis());
    }

    private boolean isLimited(BackendServer server) {
      long now = context.clock().millis();
      return now
          < context.coldStartLimit().notBeforeMillis(server, context.views().get().view(), now);
    }

    /**
     * Returns the regions in which the statement's data may be handled. A transaction keeps those
     * that applied when it began; any other statement obeys a change while it waits.
     */
    private HomeRegions homeRegions(CurrentView current) {
      AdmittedOperation operation = request.operation();
      if (request.statement() instanceof Statement.Begin) {
        return operation.homeRegions();
      }
      boolean anonymous = operation.customer().equals(SessionAdmission.ANONYMOUS_CUSTOMER);
      return operation
          .homeRegions()
          .current(
              current.view().configuration(),
              operation.route().name(),
              anonymous ? null : operation.customer());
    }

    private long remainingMillis() {
      return Math.max(1, request.deadlineMillis() - context.clock().millis());
    }

    private void handleConnectFailure(RunOn target, BackendException e) {
      String server = target.server().name();
      logLine(LogEvent.SERVER_UNREACHABLE, request, target)
          .with("reason", e.failure().map(Enum::name).orElse(String.valueOf(e.getCause())))
          .write();
      lastFailureCode = e.code();
      boolean tooManyConnections =
          e.failure().filter(failure -> failure == ServerFailure.TOO_MANY_CONNECTIONS).isPresent();
      if (tooManyConnections) {
        serverBusy = true;
        context.backoff().rejected(server, request.priority(), context.clock().millis());
      } else {
        context.health().failed(server, context.clock().millis());
        if (target.asPrimary()) {
          checker.check(request.operation().route().database());
        }
      }
    }

    private void handleBrokenConnection(
        RunOn target, BackendException e, boolean statementSent, long awaitedMillis)
        throws RefusalException {
      String server = target.server().name();
      logLine(LogEvent.SERVER_CONNECTION_BROKEN, request, target)
          .with("sent", statementSent)
          .with("reason", e.getCause())
          .with("awaited_ms", awaitedMillis)
          .write();
      boolean timedOut = context.clock().millis() >= request.deadlineMillis();
      if (!timedOut || awaitedMillis >= MIN_UNANSWERED_MILLIS) {
        recordUnanswered(target, awaitedMillis);
        context.health().failed(server, context.clock().millis());
        context.pools().closeIdle(server);
        if (target.asPrimary()) {
          checker.check(request.operation().route().database());
        }
      }
      lastFailureCode = e.code();
      boolean mayHaveRun =
          statementSent && request.isWrite() && !(request.statement() instanceof Statement.Begin);
      if (mayHaveRun) {
        throw new RefusalException(ResultCode.OUTCOME_UNKNOWN);
      }
      if (context.clock().millis() >= request.deadlineMillis() - ANSWER_MARGIN_MILLIS) {
        throw new RefusalException(
            statementSent ? ResultCode.STATEMENT_TIMED_OUT : ResultCode.WAIT_LIMIT_REACHED);
      }
    }

    /**
     * Handles a statement that a gateway did not run or did not answer, which shows nothing about
     * the server.
     */
    private void handleRelayFailure(RunOn target, RelayException e) throws RefusalException {
      logLine(LogEvent.RELAY_FAILED, request, target)
          .with("sent", e.mayHaveReachedServer())
          .with("reason", e.getCause())
          .write();
      if (e.mayHaveReachedServer()
          && request.isWrite()
          && !(request.statement() instanceof Statement.Begin)) {
        throw new RefusalException(ResultCode.OUTCOME_UNKNOWN);
      }
      lastFailureCode = e.refusal().orElse(ResultCode.WAIT_LIMIT_REACHED);
      if (e.refusal().isPresent() && request.requiresPrimary()) {
        throw new RefusalException(lastFailureCode);
      }
      if (context.clock().millis() >= request.deadlineMillis() - ANSWER_MARGIN_MILLIS) {
        throw new RefusalException(
            e.mayHaveReachedServer()
                ? ResultCode.STATEMENT_TIMED_OUT
                : ResultCode.WAIT_LIMIT_REACHED);
      }
      if (e.refusal().isEmpty()) {
        repeatOnSameServer();
      }
    }

    /** Lets the next attempt choose the same server, because the gateway was at fault. */
    private void repeatOnSameServer() {
      relayFailures++;
      serverAtFault = false;
    }

    /**
     * Excludes a server that rejected the statement from the next attempts, and waits first if the
     * statement writes or depends on the lease. A busy server needs no exclusion, because the
     * router avoids it until its backoff has ended.
     */
    private void handleRejection(RunOn target) throws RefusalException {
      if (serverBusy || !serverAtFault) {
        serverBusy = false;
        serverAtFault = true;
        return;
      }
      triedServers.add(target.server().name());
      if (target.leaseRequired() || request.isWrite()) {
        pauseBeforeRetry(lastFailureCode);
      }
    }

    private void awaitRoute(SessionTarget.Wait wait) throws RefusalException {
      if (admitter != null) {
        awaitAdmission(admitter, wait.code(), wait.untilMillis());
        return;
      }
      long waitMillis = wait.untilMillis() - context.clock().millis();
      if (waitMillis <= 0) {
        pauseBeforeRetry(wait.code());
        return;
      }
      sleepFor(Math.min(waitMillis, remainingWaitMillis(wait.code())), wait.code());
      triedServers.clear();
    }

    /**
     * Waits until a server may become suitable, or refuses the statement at once if that is after
     * its deadline.
     */
    private void awaitOrRefuse(SessionTarget.NotBefore notBefore) throws RefusalException {
      long now = context.clock().millis();
      if (notBefore.untilMillis() >= request.deadlineMillis() - MIN_RUN_MILLIS) {
        if (notBefore.code() == ResultCode.NO_SERVER_IN_HOME_REGION) {
          context.placementCounters().countHomeRegionRefusal();
          logHomeRegionRefusal();
        } else {
          logPrimaryLimited(notBefore.untilMillis());
        }
        throw new RefusalException(notBefore.code());
      }
      sleepFor(
          Math.clamp(notBefore.untilMillis() - now, 1, REROUTE_AFTER_MILLIS), notBefore.code());
      triedServers.clear();
    }

    private void logPrimaryLimited(long untilMillis) {
      String database = request.operation().route().database();
      String primary = context.views().get().view().database(database).primary();
      if (primary != null) {
        logColdRefusal(request, primary, untilMillis);
      }
    }

    /** Logs the regions that were compared; refusals are the only lines, one for each statement. */
    private void logHomeRegionRefusal() {
      CurrentView current = context.views().get();
      String database = request.operation().route().database();
      Map<String, String> serverRegions = new TreeMap<>();
      context
          .registry()
          .group(database)
          .servers()
          .forEach((name, server) -> serverRegions.put(name, server.announcement().region()));
      DecisionLog.line(LogEvent.HOME_REGION_REFUSED)
          .with("request", request.statement().id())
          .with("customer", request.operation().customer())
          .with("database", database)
          .with("write", request.isWrite())
          .with("home_regions", new TreeSet<>(homeRegions(current).regions()))
          .with("primary", current.view().database(database).primary())
          .with("server_regions", serverRegions)
          .with("configuration_version", current.view().document().version())
          .write();
    }

    private void awaitAdmission(StatementAdmitter admission, ResultCode code, long untilMillis)
        throws RefusalException {
      long pause = retryDelayMillis / 2 + ThreadLocalRandom.current().nextLong(retryDelayMillis);
      long latestStart = request.deadlineMillis() - MIN_RUN_MILLIS;
      sleepFor(admission.waitMillis(request, code, untilMillis, latestStart, pause + 1), code);
      retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, retryDelayMillis * 2);
      triedServers.clear();
    }

    private void pauseBeforeRetry(ResultCode code) throws RefusalException {
      if (admitter != null) {
        awaitAdmission(admitter, code, Long.MIN_VALUE);
        return;
      }
      long jittered = retryDelayMillis / 2 + ThreadLocalRandom.current().nextLong(retryDelayMillis);
      sleepFor(Math.min(jittered + 1, remainingWaitMillis(code)), code);
      retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, retryDelayMillis * 2);
      triedServers.clear();
    }

    /**
     * Returns the time for which the statement may still wait before it is sent, in milliseconds.
     */
    private long remainingWaitMillis(ResultCode code) throws RefusalException {
      long remaining = request.deadlineMillis() - MIN_RUN_MILLIS - context.clock().millis();
      if (remaining <= 0) {
        boolean notRun = code.outcome() == Outcome.NOT_RUN;
        throw new RefusalException(notRun ? code : ResultCode.WAIT_LIMIT_REACHED);
      }
      return remaining;
    }
  }

  private Optional<ServerReply> runSingle(RetryLoop<?> retryLoop, RunOn target, Checkout checkout)
      throws RefusalException, BackendException {
    StatementRequest request = retryLoop.request;
    long sentMillis = context.clock().millis();
    ServerReply reply = execute(request, checkout, target.minPosition());
    recordAnswer(request, target, reply, sentMillis);
    if (reply.state() == TransactionState.IDLE) {
      checkout.markClean();
    }
    checkout.close();
    if (reply.failure() == null) {
      if (!isRecentEnough(request, target, checkout, sentMillis)) {
        checkout.markDiscarded();
        retryLoop.lastFailureCode = ResultCode.NO_FRESH_SERVER;
        retryLoop.repeatOnSameServer();
        return Optional.empty();
      }
      if (DecisionLog.isSampled(request.statement().id())) {
        logLine(LogEvent.STATEMENT_DONE, request, target)
            .with("waited_ms", sentMillis - retryLoop.startedMillis)
            .with("server_ms", context.clock().millis() - sentMillis)
            .with("known_ago_ms", sentMillis - target.completeUntilMillis())
            .with("position", reply.position())
            .with("gateway", checkout.relayTiming().map(RelayTiming::gateway).orElse(null))
            .with("gateway_ms", checkout.relayTiming().map(RelayTiming::relayMillis).orElse(null))
            .write();
      }
      if (target.leaseRequired() && request.isWrite()) {
        requireCurrentPrimary(request, target);
      }
      boolean leaseLost = target.leaseRequired() && !isCurrentPrimary(request, target);
      retryLoop.lastFailureCode = ResultCode.NO_LEASE;
      return leaseLost ? Optional.empty() : Optional.of(reply);
    }
    return handleFailure(retryLoop, target, reply.failure());
  }

  /** Returns whether a read that a gateway sent reached its server early enough. */
  private static boolean isRecentEnough(
      StatementRequest request, RunOn target, Checkout checkout, long sentMillis) {
    return checkout
        .relayTiming()
        .map(
            timing ->
                RelayedReads.isRecentEnough(
                    target,
                    request.operation().route().freshness(),
                    sentMillis,
                    timing.elapsedMillis(),
                    timing.serverMillis()))
        .orElse(true);
  }

  /**
   * Returns empty if a statement that failed on one server may be tried on another, and throws
   * otherwise.
   */
  private <T> Optional<T> handleFailure(RetryLoop<?> retryLoop, RunOn target, ServerFailure failure)
      throws RefusalException {
    logLine(LogEvent.SERVER_DECLINED, retryLoop.request, target).with("reason", failure).write();
    retryLoop.lastFailureCode = toResultCode(failure);
    retryLoop.serverBusy = failure == ServerFailure.BUSY;
    boolean retryable = !failure.mayHaveRun() || !retryLoop.request.isWrite();
    boolean invalid = failure == ServerFailure.INVALID;
    if (retryable && !invalid) {
      return Optional.empty();
    }
    throw new RefusalException(toResultCode(failure));
  }

  private Optional<BegunTransaction> beginOn(
      RetryLoop<?> retryLoop, RunOn target, Checkout checkout)
      throws RefusalException, BackendException {
    StatementRequest request = retryLoop.request;
    long sentMillis = context.clock().millis();
    ServerReply reply = execute(request, checkout, target.minPosition());
    recordAnswer(request, target, reply, sentMillis);
    if (reply.failure() != null) {
      if (reply.state() == TransactionState.IDLE) {
        checkout.markClean();
      }
      checkout.close();
      return handleFailure(retryLoop, target, reply.failure());
    }
    boolean usable =
        target.leaseRequired() ? isCurrentPrimary(request, target) : isFreshEnough(request, target);
    if (!usable) {
      checkout.close();
      retryLoop.lastFailureCode = ResultCode.NO_LEASE;
      return Optional.empty();
    }
    return Optional.of(
        new BegunTransaction(checkout, target, target.leaseRequired() && request.isWrite()));
  }

  /**
   * Returns whether a transaction that has just begun still meets the age limit of its route. Its
   * reads are as recent as its beginning, which may have reached the server late.
   */
  private boolean isFreshEnough(StatementRequest request, RunOn target) {
    return target.minPosition() == null
        || !(request.operation().route().freshness() instanceof Freshness.BoundedAge bounded)
        || context.clock().millis() <= target.completeUntilMillis() + bounded.maxAgeMillis();
  }

  private ServerReply execute(
      StatementRequest request, Checkout checkout, @Nullable LogPosition after)
      throws BackendException {
    long timeout = Math.max(1, request.deadlineMillis() - context.clock().millis());
    return checkout.execute(request.statement(), request.prepared(), after, timeout);
  }

  /** Records what a reply shows about the state of the server and its log. */
  private void recordAnswer(
      StatementRequest request, RunOn target, ServerReply reply, long sentMillis) {
    String database = request.operation().route().database();
    context.health().succeeded(target.server().name());
    recordCapacity(request, target, reply, sentMillis);
    if (reply.failure() == ServerFailure.BUSY) {
      context
          .backoff()
          .rejected(target.server().name(), request.priority(), context.clock().millis());
    } else if (reply.failure() == null) {
      long now = context.clock().millis();
      context.backoff().served(target.server().name(), request.priority(), now - sentMillis, now);
    }
    if (target.minPosition() != null && reply.failure() == ServerFailure.BEHIND) {
      LogPosition reached = reply.position() == null ? LogPosition.ZERO : reply.position();
      context.lagTracker().rejected(target.server().name(), reached, context.clock().millis());
    } else if (target.minPosition() != null && reply.failure() == null) {
      context.lagTracker().served(target.server().name());
    }
    LogPosition position = reply.position();
    boolean isPrimary =
        target.asPrimary()
            && reply.failure() == null
            && ((request.provesPrimary() && !target.leaseRequired())
                || isCurrentPrimary(request, target));
    if (!isPrimary) {
      return;
    }
    context.trafficMonitor().recordAnswer(database, target.term(), context.clock().millis());
    if (position != null) {
      context
          .positions()
          .recordLocal(database, new PositionSample(target.term(), position, sentMillis));
    }
  }

  private void recordCapacity(
      StatementRequest request, RunOn target, ServerReply reply, long sentMillis) {
    long now = context.clock().millis();
    context
        .router()
        .capacity()
        .ifPresent(
            capacity ->
                capacity.recordAnswer(
                    target.server(),
                    request.statementClass(),
                    reply.failure(),
                    now - sentMillis,
                    now));
  }

  private void recordUnanswered(RunOn target, long awaitedMillis) {
    long now = context.clock().millis();
    context
        .router()
        .capacity()
        .ifPresent(capacity -> capacity.recordUnanswered(target.server(), awaitedMillis, now));
  }

  private DecisionLog.Line logLine(LogEvent event, StatementRequest request, RunOn target) {
    return DecisionLog.line(event)
        .with("request", request.statement().id())
        .with("customer", request.operation().customer())
        .with("database", request.operation().route().database())
        .with("server", target.server().name())
        .with("write", request.isWrite())
        .with("as_primary", target.asPrimary())
        .with("after", target.minPosition())
        .with("view_term", target.term())
        .with("left_ms", request.deadlineMillis() - context.clock().millis());
  }

  /**
   * Checks that a write may be acknowledged: after the end of the lease its server may have been
   * replaced before it ran the write.
   */
  private void requireCurrentPrimary(StatementRequest request, RunOn target)
      throws RefusalException {
    if (!isCurrentPrimary(request, target)) {
      throw new RefusalException(
          ResultCode.OUTCOME_UNKNOWN, "The lease ended while the write was in progress.");
    }
  }

  private boolean isCurrentPrimary(StatementRequest request, RunOn target) {
    CurrentView current = context.views().get();
    DatabaseState state = current.view().database(request.operation().route().database());
    return current.lease().isValid(context.clock().millis())
        && state.term() == target.term()
        && target.server().name().equals(state.primary());
  }

  /** Returns the result code to report for a statement that failed and is not tried again. */
  static ResultCode toResultCode(ServerFailure failure) {
    return switch (failure) {
      case BUSY, TOO_MANY_CONNECTIONS -> ResultCode.OVERLOADED;
      case BEHIND -> ResultCode.NO_FRESH_SERVER;
      case NOT_PRIMARY, WRONG_SERVER -> ResultCode.NO_PRIMARY;
      case NOT_PREPARED -> ResultCode.STATEMENT_NOT_PREPARED;
      case INVALID -> ResultCode.BAD_REQUEST;
      case ABORTED -> ResultCode.TRANSACTION_ABORTED;
      case FAILED -> ResultCode.STATEMENT_RUN_FAILED;
      case TIMED_OUT -> ResultCode.STATEMENT_TIMED_OUT;
      case OTHER -> ResultCode.OUTCOME_UNKNOWN;
    };
  }

  private static void sleep(long millis) throws RefusalException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new RefusalException(ResultCode.SHUTTING_DOWN);
    }
  }
}
