package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.result.Outcome;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.PositionSample;
import org.cowslipdale.core.routing.SessionDemand;
import org.cowslipdale.core.routing.SessionTarget;
import org.cowslipdale.core.routing.SessionTarget.RunOn;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.ServerFailure;
import org.cowslipdale.core.statement.ServerReply;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.statement.Statement.PreparedStatement;
import org.cowslipdale.core.statement.TransactionState;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.cowslipdale.daemon.version.CurrentView;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs statements of sessions on backend servers; the methods block the calling (virtual) thread.
 *
 * <p>A statement is sent again only if the server said that nothing ran, or if it only reads. Until
 * its limit has passed, a statement that no server can run yet waits here, because callers give up
 * an operation after a few quick refusals.
 */
final class SessionRunner {

  private static final long INITIAL_RETRY_DELAY_MILLIS = 4;
  private static final long MAX_RETRY_DELAY_MILLIS = 40;

  /** Kept back from the statement's limit, so that the refusal arrives within it. */
  private static final long ANSWER_MARGIN_MILLIS = 10;

  /** A statement with less time left is not sent; it could hardly be answered. */
  private static final long MIN_RUN_MILLIS = 60;

  /**
   * How long a read that other servers may serve waits for a place before it is routed again: a few
   * times what a statement takes, and what a replica lags.
   */
  private static final long REROUTE_AFTER_MILLIS = 100;

  /** An answer that was awaited for less says nothing about the server. */
  private static final long MIN_UNANSWERED_MILLIS = 400;

  /** How long the connection of a transaction that was rolled back is kept for the answer. */
  private static final long ROLLBACK_TIMEOUT_MILLIS = 1_000;

  private static final Logger LOG = LoggerFactory.getLogger(SessionRunner.class);

  private final SessionContext context;
  private final PrimaryChecker checker;

  SessionRunner(SessionContext context, PrimaryChecker checker) {
    this.context = requireNonNull(context, "context");
    this.checker = requireNonNull(checker, "checker");
  }

  /**
   * What a session asks to be run.
   *
   * @param operation the admitted operation
   * @param statement the statement
   * @param prepared what it executes, if it executes a prepared statement
   * @param values the values of the session
   * @param lastCommittedPosition the latest position that the session committed
   * @param deadlineMillis until when it must be answered, on the VM's monotonic clock
   */
  record StatementRequest(
      AdmittedOperation operation,
      Statement statement,
      @Nullable PreparedStatement prepared,
      Map<String, String> values,
      LogPosition lastCommittedPosition,
      long deadlineMillis) {

    /** Tells whether only the primary can ever run it. */
    boolean requiresPrimary() {
      return isWrite() || operation.route().freshness() instanceof Freshness.Latest;
    }

    /** Tells whether only a server that leads answers it with success. */
    boolean provesPrimary() {
      return !(statement instanceof Statement.Commit) && isWrite();
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
   * A connection on which a transaction was begun.
   *
   * @param checkout the connection
   * @param target the server
   */
  record BegunTransaction(SessionPool.Checkout checkout, RunOn target) {}

  /** Runs a single statement. */
  ServerReply run(StatementRequest job) throws RefusalException {
    return new RetryLoop<ServerReply>(job) {
      @Override
      Optional<ServerReply> attempt(RunOn target, SessionPool.Checkout lease)
          throws RefusalException, BackendException {
        return runSingle(this, target, lease);
      }
    }.run();
  }

  /** Begins a transaction; the caller owns the connection afterwards. */
  BegunTransaction begin(StatementRequest job) throws RefusalException {
    return new RetryLoop<BegunTransaction>(job) {
      @Override
      Optional<BegunTransaction> attempt(RunOn target, SessionPool.Checkout lease)
          throws RefusalException, BackendException {
        return beginOn(this, target, lease);
      }
    }.run();
  }

  /**
   * Runs a statement within a transaction.
   *
   * @throws BackendException if no whole answer arrived; the connection is unusable
   */
  ServerReply runInTransaction(BegunTransaction begun, StatementRequest job) throws BackendException, RefusalException {
    long pause = INITIAL_RETRY_DELAY_MILLIS;
    while (true) {
      long sentMillis = context.clock().millis();
      ServerReply reply = execute(job, begun.checkout().session(), null);
      recordAnswer(job, begun.target(), reply, sentMillis);
      boolean again =
          reply.failure() == ServerFailure.BUSY && reply.state() == TransactionState.OPEN;
      if (!again || context.clock().millis() + pause >= job.deadlineMillis()) {
        return reply;
      }
      sleep(pause);
      pause = Math.min(MAX_RETRY_DELAY_MILLIS, pause * 2);
    }
  }

  /** Rolls a transaction back; the caller need not wait for the server. */
  void rollBack(BegunTransaction begun, Statement.Rollback statement) {
    Thread.startVirtualThread(
        () -> {
          try {
            ServerReply reply = begun.checkout().session().execute(statement, null, ROLLBACK_TIMEOUT_MILLIS);
            if (reply.failure() == null && reply.state() == TransactionState.IDLE) {
              begun.checkout().markClean();
            }
          } catch (BackendException e) {
            LOG.debug("a rollback was not answered; the connection is closed", e);
          } finally {
            begun.checkout().close();
          }
        });
  }

  /** The attempts of one statement to find a server that runs it. */
  private abstract class RetryLoop<T> {

    private final StatementRequest request;
    private final Set<String> triedServers = new HashSet<>();
    private long retryDelayMillis = INITIAL_RETRY_DELAY_MILLIS;
    private final long startedMillis;
    private ResultCode lastFailureCode = ResultCode.WAIT_LIMIT_REACHED;
    private boolean sent;
    private boolean serverBusy;

    RetryLoop(StatementRequest job) {
      this.request = job;
      this.startedMillis = context.clock().millis();
    }

    /** Tries one server; returns empty if the statement did not run there, or only read. */
    abstract Optional<T> attempt(RunOn target, SessionPool.Checkout lease)
        throws RefusalException, BackendException;

    /** Runs the statement; a token that no server saw the use of is given back. */
    T run() throws RefusalException {
      try {
        return runWithRetries();
      } catch (RefusalException e) {
        if (!sent) {
          context.limiter().returnToken(request.operation().customer());
        }
        throw e;
      }
    }

    private T runWithRetries() throws RefusalException {
      while (true) {
        switch (route()) {
          case SessionTarget.Wait wait -> awaitRoute(wait);
          case RunOn target -> {
            Optional<T> result = tryServer(target);
            if (result.isPresent()) {
              return result.get();
            }
            handleRejection(target);
          }
        }
      }
    }

    private Optional<T> tryServer(RunOn target) throws RefusalException {
      SessionPool.Checkout lease;
      long lastStartMillis = request.deadlineMillis() - MIN_RUN_MILLIS;
      long rerouteMillis =
          request.requiresPrimary()
              ? lastStartMillis
              : Math.min(lastStartMillis, context.clock().millis() + REROUTE_AFTER_MILLIS);
      try {
        lease =
            context
                .pools()
                .acquire(
                    target.server(),
                    context.views().get(),
                    request.operation().customer(),
                    request.values(),
                    rerouteMillis,
                    lastStartMillis);
      } catch (BackendException e) {
        handleConnectFailure(target, e);
        return Optional.empty();
      } catch (RefusalException e) {
        lastFailureCode = e.code();
        if (request.requiresPrimary()) {
          throw e;
        }
        return Optional.empty();
      }
      long sentMillis = context.clock().millis();
      if (request.deadlineMillis() - sentMillis < MIN_RUN_MILLIS) {
        lease.markClean();
        lease.close();
        throw new RefusalException(ResultCode.WAIT_LIMIT_REACHED);
      }
      boolean prepared = false;
      try {
        prepareConnection(lease.session());
        prepared = true;
        Optional<RunOn> confirmed = confirm(target.server());
        if (confirmed.isEmpty()) {
          lease.markClean();
          lease.close();
          lastFailureCode = request.isWrite() ? ResultCode.NO_PRIMARY : ResultCode.NO_LEASE;
          return Optional.empty();
        }
        sent = true;
        return attempt(confirmed.get(), lease);
      } catch (BackendException e) {
        lease.close();
        handleBrokenConnection(target, e, prepared && e.mayHaveReachedServer(), context.clock().millis() - sentMillis);
        return Optional.empty();
      } catch (RefusalException e) {
        lease.close();
        throw e;
      }
    }

    /** Sends everything that has to precede the statement on a connection. */
    private void prepareConnection(PooledSession session) throws BackendException {
      session.applyValues(request.values(), remainingMillis());
      PreparedStatement prepared = request.prepared();
      if (prepared != null) {
        session.prepare(prepared, remainingMillis());
      }
    }

    private SessionTarget route() {
      CurrentView current = context.views().get();
      String database = request.operation().route().database();
      return context
          .router()
          .route(
              createDemand(),
              context.registry().group(database),
              current.view().database(database),
              current.lease(),
              context.positions().historyOf(database),
              context.clock().millis());
    }

    private Optional<RunOn> confirm(BackendServer server) {
      CurrentView current = context.views().get();
      String database = request.operation().route().database();
      return context
          .router()
          .confirm(
              context.registry().group(database).server(server.name()).orElse(server),
              createDemand(),
              current.view().database(database),
              current.lease(),
              context.positions().historyOf(database),
              context.clock().millis());
    }

    private SessionDemand createDemand() {
      return new SessionDemand(request.isWrite(), request.operation().route().freshness(), request.lastCommittedPosition(), triedServers);
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
      boolean refusedBusy =
          e.failure().filter(failure -> failure == ServerFailure.TOO_MANY_CONNECTIONS).isPresent();
      if (refusedBusy) {
        serverBusy = true;
        context.backoff().rejected(server, context.clock().millis());
      } else {
        context.health().failed(server, context.clock().millis());
        if (target.asPrimary()) {
          checker.check(request.operation().route().database());
        }
      }
    }

    private void handleBrokenConnection(RunOn target, BackendException e, boolean statementSent, long awaitedMillis)
        throws RefusalException {
      String server = target.server().name();
      logLine(LogEvent.SERVER_CONNECTION_BROKEN, request, target)
          .with("sent", statementSent)
          .with("reason", e.getCause())
          .with("awaited_ms", awaitedMillis)
          .write();
      boolean timedOut = context.clock().millis() >= request.deadlineMillis();
      if (!timedOut || awaitedMillis >= MIN_UNANSWERED_MILLIS) {
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

    /** A server that was busy is not routed to until its pause has ended. */
    private void handleRejection(RunOn target) throws RefusalException {
      if (serverBusy) {
        serverBusy = false;
        return;
      }
      triedServers.add(target.server().name());
      if (target.leaseRequired() || request.isWrite()) {
        pauseBeforeRetry(lastFailureCode);
      }
    }

    private void awaitRoute(SessionTarget.Wait wait) throws RefusalException {
      long pause = wait.untilMillis() - context.clock().millis();
      if (pause <= 0) {
        pauseBeforeRetry(wait.code());
        return;
      }
      sleep(Math.min(pause, remainingWaitMillis(wait.code())));
      triedServers.clear();
    }

    private void pauseBeforeRetry(ResultCode code) throws RefusalException {
      long jittered = retryDelayMillis / 2 + ThreadLocalRandom.current().nextLong(retryDelayMillis);
      sleep(Math.min(jittered + 1, remainingWaitMillis(code)));
      retryDelayMillis = Math.min(MAX_RETRY_DELAY_MILLIS, retryDelayMillis * 2);
      triedServers.clear();
    }

    /** Returns how long the statement may still wait before it is sent, in milliseconds. */
    private long remainingWaitMillis(ResultCode code) throws RefusalException {
      long left = request.deadlineMillis() - MIN_RUN_MILLIS - context.clock().millis();
      if (left <= 0) {
        boolean notRun = code.outcome() == Outcome.NOT_RUN;
        throw new RefusalException(notRun ? code : ResultCode.WAIT_LIMIT_REACHED);
      }
      return left;
    }
  }

  private Optional<ServerReply> runSingle(RetryLoop<?> attempts, RunOn target, SessionPool.Checkout lease)
      throws RefusalException, BackendException {
    StatementRequest job = attempts.request;
    long sentMillis = context.clock().millis();
    ServerReply reply = execute(job, lease.session(), target.minPosition());
    recordAnswer(job, target, reply, sentMillis);
    if (reply.state() == TransactionState.IDLE) {
      lease.markClean();
    }
    lease.close();
    if (reply.failure() == null) {
      if (DecisionLog.isSampled(job.statement().id())) {
        logLine(LogEvent.STATEMENT_DONE, job, target)
            .with("waited_ms", sentMillis - attempts.startedMillis)
            .with("server_ms", context.clock().millis() - sentMillis)
            .with("known_ago_ms", sentMillis - target.completeUntilMillis())
            .with("position", reply.position())
            .write();
      }
      boolean stale = target.leaseRequired() && !job.isWrite() && !isCurrentPrimary(job, target);
      attempts.lastFailureCode = ResultCode.NO_LEASE;
      return stale ? Optional.empty() : Optional.of(reply);
    }
    return handleFailure(attempts, target, reply.failure());
  }

  /** Decides whether a statement that failed at one server may be tried at another. */
  private <T> Optional<T> handleFailure(RetryLoop<?> attempts, RunOn target, ServerFailure failure)
      throws RefusalException {
    logLine(LogEvent.SERVER_DECLINED, attempts.request, target).with("reason", failure).write();
    attempts.lastFailureCode = toResultCode(failure);
    attempts.serverBusy = failure == ServerFailure.BUSY;
    boolean again = !failure.mayHaveRun() || !attempts.request.isWrite();
    boolean hopeless = failure == ServerFailure.INVALID;
    if (again && !hopeless) {
      return Optional.empty();
    }
    throw new RefusalException(toResultCode(failure));
  }

  private Optional<BegunTransaction> beginOn(RetryLoop<?> attempts, RunOn target, SessionPool.Checkout lease)
      throws RefusalException, BackendException {
    StatementRequest job = attempts.request;
    long sentMillis = context.clock().millis();
    ServerReply reply = execute(job, lease.session(), target.minPosition());
    recordAnswer(job, target, reply, sentMillis);
    if (reply.failure() != null) {
      if (reply.state() == TransactionState.IDLE) {
        lease.markClean();
      }
      lease.close();
      return handleFailure(attempts, target, reply.failure());
    }
    boolean holds = target.leaseRequired() ? isCurrentPrimary(job, target) : isFreshEnough(job, target);
    if (!holds) {
      lease.close();
      attempts.lastFailureCode = ResultCode.NO_LEASE;
      return Optional.empty();
    }
    return Optional.of(new BegunTransaction(lease, target));
  }

  /** The reads of a transaction are as recent as its beginning, which may have arrived late. */
  private boolean isFreshEnough(StatementRequest job, RunOn target) {
    return target.minPosition() == null
        || !(job.operation().route().freshness() instanceof Freshness.BoundedAge bounded)
        || context.clock().millis() <= target.completeUntilMillis() + bounded.maxAgeMillis();
  }

  private ServerReply execute(StatementRequest job, PooledSession session, @Nullable LogPosition after)
      throws BackendException {
    long timeout = Math.max(1, job.deadlineMillis() - context.clock().millis());
    if (job.statement() instanceof Statement.Execute execute && job.prepared() != null) {
      ServerReply reply = session.execute(execute, job.prepared(), after, timeout);
      if (reply.failure() == ServerFailure.NOT_PREPARED) {
        session.clearPrepared();
      }
      return reply;
    }
    return session.execute(job.statement(), after, timeout);
  }

  /** Takes in what an answer tells of the server and its log. */
  private void recordAnswer(StatementRequest job, RunOn target, ServerReply reply, long sentMillis) {
    String database = job.operation().route().database();
    context.health().succeeded(target.server().name());
    if (reply.failure() == ServerFailure.BUSY) {
      context.backoff().rejected(target.server().name(), context.clock().millis());
    } else if (reply.failure() == null) {
      context.backoff().served(target.server().name(), context.clock().millis());
    }
    if (target.minPosition() != null && reply.failure() == ServerFailure.BEHIND) {
      LogPosition reached = reply.position() == null ? LogPosition.ZERO : reply.position();
      context.lagTracker().rejected(target.server().name(), reached, context.clock().millis());
    } else if (target.minPosition() != null && reply.failure() == null) {
      context.lagTracker().served(target.server().name());
    }
    LogPosition position = reply.position();
    boolean leads =
        target.asPrimary()
            && reply.failure() == null
            && (job.provesPrimary() || isCurrentPrimary(job, target));
    if (!leads) {
      return;
    }
    context.trafficMonitor().recordAnswer(database, target.term(), context.clock().millis());
    if (position != null) {
      context
          .positions()
          .recordLocal(database, new PositionSample(target.term(), position, sentMillis));
    }
  }

  private DecisionLog.Line logLine(LogEvent event, StatementRequest job, RunOn target) {
    return DecisionLog.line(event)
        .with("request", job.statement().id())
        .with("customer", job.operation().customer())
        .with("database", job.operation().route().database())
        .with("server", target.server().name())
        .with("write", job.isWrite())
        .with("as_primary", target.asPrimary())
        .with("after", target.minPosition())
        .with("view_term", target.term())
        .with("left_ms", job.deadlineMillis() - context.clock().millis());
  }

  private boolean isCurrentPrimary(StatementRequest job, RunOn target) {
    CurrentView current = context.views().get();
    DatabaseState state = current.view().database(job.operation().route().database());
    return current.lease().isValid(context.clock().millis())
        && state.term() == target.term()
        && target.server().name().equals(state.primary());
  }

  /** Returns the code for a caller whose statement failed for good. */
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
