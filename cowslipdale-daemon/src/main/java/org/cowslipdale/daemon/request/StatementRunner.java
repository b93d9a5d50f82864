package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import org.cowslipdale.config.protocol.BackendAnswer;
import org.cowslipdale.config.protocol.BackendCall;
import org.cowslipdale.core.result.Outcome;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.RouteDecision;
import org.cowslipdale.core.routing.RouteDecision.Conditions;
import org.cowslipdale.core.routing.RouteDecision.RunOn;
import org.cowslipdale.core.routing.RouteRequest;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.session.SessionToken;
import org.cowslipdale.daemon.connection.BackendConnection.Operation;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.connection.BackendPool.PooledConnection;
import org.cowslipdale.daemon.telemetry.Tracing;
import org.cowslipdale.daemon.version.CurrentView;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;

/**
 * Runs requests on backend servers.
 *
 * <p>A request that a server rejected, or that could not be sent, is routed again. If a request was
 * sent but its answer was lost, it is sent again only if its work class is repeatable and the retry
 * budget permits it. Otherwise its outcome is unknown. The methods block the calling virtual
 * thread.
 */
final class StatementRunner {

  private static final long INITIAL_BACKOFF_MILLIS = 2;
  private static final long MAX_BACKOFF_MILLIS = 50;

  private final ViewHolder views;
  private final Backends backends;
  private final Acknowledger acknowledger;
  private final Tracing tracing;
  private final VmClock clock;

  StatementRunner(
      ViewHolder views,
      Backends backends,
      Acknowledger acknowledger,
      Tracing tracing,
      VmClock clock) {
    this.views = requireNonNull(views, "views");
    this.backends = requireNonNull(backends, "backends");
    this.acknowledger = requireNonNull(acknowledger, "acknowledger");
    this.tracing = requireNonNull(tracing, "tracing");
    this.clock = requireNonNull(clock, "clock");
  }

  /**
   * A transaction that was begun on a backend server.
   *
   * @param pooled the pooled connection of the transaction
   * @param target the routing decision: the backend server, its term and the conditions
   * @param answer the answer of the server to the begin call
   */
  record BegunTransaction(PooledConnection pooled, RunOn target, BackendAnswer answer) {}

  /** Runs a single statement. */
  RequestResult run(RequestContext context, WorkRequest work, long deadlineMillis)
      throws RefusalException {
    backends.retries().recordRequest();
    return new Attempts<RequestResult>(context, work, deadlineMillis) {
      @Override
      Optional<RequestResult> attempt(RunOn target) throws RefusalException {
        return runOn(target, this);
      }
    }.run();
  }

  /** Begins a transaction. The calling code must close the connection that is returned. */
  BegunTransaction begin(RequestContext context, WorkRequest work, long deadlineMillis)
      throws RefusalException {
    return new Attempts<BegunTransaction>(context, work, deadlineMillis) {
      @Override
      Optional<BegunTransaction> attempt(RunOn target) throws RefusalException {
        return beginOn(target, this);
      }
    }.run();
  }

  /** Routes one request repeatedly until a server runs it or the deadline has passed. */
  private abstract class Attempts<T> {

    private final RequestContext context;
    private final WorkRequest work;
    private final long deadlineMillis;
    private final Set<String> triedServers = new HashSet<>();
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private boolean mayHaveRun;

    Attempts(RequestContext context, WorkRequest work, long deadlineMillis) {
      this.context = context;
      this.work = work;
      this.deadlineMillis = deadlineMillis;
    }

    /** Tries one server. Returns empty if the request may be routed again. */
    abstract Optional<T> attempt(RunOn target) throws RefusalException;

    T run() throws RefusalException {
      try {
        return findServer();
      } catch (RefusalException e) {
        boolean reportsNotRun = e.code().outcome() == Outcome.NOT_RUN;
        throw mayHaveRun && reportsNotRun ? new RefusalException(ResultCode.OUTCOME_UNKNOWN) : e;
      }
    }

    private T findServer() throws RefusalException {
      while (true) {
        switch (route()) {
          case RouteDecision.Refuse refuse -> throw new RefusalException(refuse.code());
          case RouteDecision.Wait wait -> backOff(wait.code());
          case RunOn target -> {
            Optional<T> result = attempt(target);
            if (result.isPresent()) {
              return result.get();
            }
            recordFailedAttempt(target);
          }
        }
      }
    }

    private RouteDecision route() {
      CurrentView current = views.get();
      RouteRequest request =
          new RouteRequest(
              work.database(),
              work.workClass(),
              context.session().position(work.database()),
              triedServers);
      return backends
          .router()
          .route(
              request,
              backends.registry().group(work.database()),
              current.view().database(work.database()),
              current.lease(),
              current.evacuations(),
              clock.millis());
    }

    private void recordFailedAttempt(RunOn target) throws RefusalException {
      triedServers.add(target.server().name());
      if (target.conditions().asPrimary()) {
        backOff(ResultCode.NO_PRIMARY);
      }
    }

    private void backOff(ResultCode code) throws RefusalException {
      long now = clock.millis();
      if (now >= deadlineMillis) {
        throw new RefusalException(code);
      }
      long jitteredMillis = backoffMillis / 2 + ThreadLocalRandom.current().nextLong(backoffMillis);
      sleep(Math.min(jitteredMillis + 1, deadlineMillis - now));
      backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
      triedServers.clear();
    }

    private PooledConnection acquire(RunOn target) throws RefusalException, BackendException {
      int activeVms = Math.max(1, views.get().view().activeVms().size());
      return backends
          .pools()
          .acquire(target.server(), activeVms, context.customer(), deadlineMillis);
    }
  }

  private Optional<RequestResult> runOn(RunOn target, Attempts<?> attempts)
      throws RefusalException {
    WorkRequest work = attempts.work;
    try (Tracing.Hop hop = tracing.startHop("backend", attempts.context.traceparent());
        PooledConnection pooled = attempts.acquire(target)) {
      hop.set("server", target.server().name());
      if (permittedAgeMillis(target, work) < 0 || isEvacuated(target, work)) {
        pooled.markClean();
        return Optional.empty();
      }
      BackendAnswer answer =
          pooled
              .connection()
              .call(
                  Operation.STATEMENT,
                  createCall(target, work),
                  work.workClass().runLimitMillis(),
                  () -> isReplaced(target, work));
      pooled.markClean();
      recordAnswer(work.database(), target, answer);
      return evaluate(target, attempts, answer);
    } catch (BackendException e) {
      return handleFailure(target, attempts, e);
    }
  }

  private Optional<BegunTransaction> beginOn(RunOn target, Attempts<?> attempts)
      throws RefusalException {
    WorkRequest work = attempts.work;
    PooledConnection pooled = null;
    try {
      pooled = attempts.acquire(target);
      if (permittedAgeMillis(target, work) < 0 || isEvacuated(target, work)) {
        pooled.markClean();
        pooled.close();
        return Optional.empty();
      }
      BackendAnswer answer =
          pooled
              .connection()
              .call(
                  Operation.BEGIN,
                  createCall(target, work),
                  work.workClass().runLimitMillis(),
                  () -> isReplaced(target, work));
      recordAnswer(work.database(), target, answer);
      if (answer.error() != null) {
        pooled.close();
        throw new RefusalException(ResultCode.STATEMENT_FAILED, answer.error());
      }
      if (answer.declined() == null) {
        return Optional.of(new BegunTransaction(pooled, target, answer));
      }
      pooled.markClean();
      pooled.close();
      return Optional.empty();
    } catch (BackendException e) {
      if (pooled != null) {
        pooled.close();
      }
      backends.health().failed(target.server().name(), clock.millis());
      return Optional.empty();
    }
  }

  private Optional<RequestResult> evaluate(RunOn target, Attempts<?> attempts, BackendAnswer answer)
      throws RefusalException {
    WorkRequest work = attempts.work;
    if (answer.declined() != null) {
      return Optional.empty();
    }
    if (answer.error() != null) {
      throw new RefusalException(ResultCode.STATEMENT_FAILED, answer.error());
    }
    if (target.conditions().asPrimary()) {
      boolean readOnly = work.workClass().readOnly();
      if (readOnly
          && !acknowledger.isCurrentPrimary(
              work.database(), target.server().name(), target.term())) {
        return Optional.empty();
      }
      if (!readOnly) {
        acknowledger.acknowledge(work.database(), work.workClass(), target.server().name(), answer);
      }
    }
    return Optional.of(
        new RequestResult(
            resultOf(answer),
            target.server().name(),
            advanceSession(attempts.context, work, answer)));
  }

  private Optional<RequestResult> handleFailure(
      RunOn target, Attempts<?> attempts, BackendException e) throws RefusalException {
    backends.health().failed(target.server().name(), clock.millis());
    if (!e.mayHaveReachedServer()) {
      return Optional.empty();
    }
    attempts.mayHaveRun |= !attempts.work.workClass().readOnly();
    if (attempts.work.workClass().repeatable() && backends.retries().tryRetry()) {
      return Optional.empty();
    }
    throw new RefusalException(ResultCode.OUTCOME_UNKNOWN);
  }

  /**
   * Returns whether the target was chosen as the primary of a term that is no longer the current
   * one.
   */
  private boolean isReplaced(RunOn target, WorkRequest work) {
    return target.conditions().asPrimary()
        && views.get().view().database(work.database()).term() != target.term();
  }

  /** Returns whether the server was evacuated while the request waited for a connection. */
  private boolean isEvacuated(RunOn target, WorkRequest work) {
    CurrentView current = views.get();
    String server = target.server().name();
    boolean isPrimary = server.equals(current.view().database(work.database()).primary());
    return !current.evacuations().permits(target.server(), isPrimary, clock.millis());
  }

  private void recordAnswer(String database, RunOn target, BackendAnswer answer) {
    String server = target.server().name();
    backends.health().succeeded(server);
    backends.registry().recordOffset(database, server, answer.term(), answer.offset());
  }

  private static SessionToken advanceSession(
      RequestContext context, WorkRequest work, BackendAnswer answer) {
    LogPosition position = new LogPosition(answer.term(), answer.offset());
    return context.session().advance(work.database(), position);
  }

  private static JsonNode resultOf(BackendAnswer answer) {
    JsonNode result = answer.result();
    return result == null ? NullNode.instance : result;
  }

  /**
   * Returns the maximum age of the data that the target may serve now, in milliseconds. It may be
   * lower than at the time of routing: the lease may have ended since, and after its end the limit
   * decreases with time. Negative if no age is permitted.
   */
  private long permittedAgeMillis(RunOn target, WorkRequest work) {
    long routedMaxAgeMillis = target.conditions().maxAgeMillis();
    return target.conditions().asPrimary()
        ? routedMaxAgeMillis
        : Math.min(
            routedMaxAgeMillis,
            views.get().lease().permittedAgeMillis(work.workClass().freshness(), clock.millis()));
  }

  private BackendCall createCall(RunOn target, WorkRequest work) {
    Conditions conditions = target.conditions();
    return new BackendCall(
        UUID.randomUUID().toString(),
        target.term(),
        conditions.asPrimary(),
        conditions.minOffset(),
        conditions.waitMillis(),
        permittedAgeMillis(target, work),
        !work.workClass().readOnly(),
        work.body().statement(),
        work.body().parameters());
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
