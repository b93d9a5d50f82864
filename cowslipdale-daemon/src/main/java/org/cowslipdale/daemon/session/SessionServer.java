package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Serves the sessions of callers, independent of the protocol that they use. */
public final class SessionServer {

  private final SessionContext context;
  private final SessionAdmission admission;
  private final SessionRunner runner;
  private final Set<CallerSession> sessions = ConcurrentHashMap.newKeySet();
  private volatile boolean draining;

  /**
   * Creates the server.
   *
   * @param context the components that all sessions share
   * @param checker the checker of primaries that appear to have failed
   */
  public SessionServer(SessionContext context, PrimaryChecker checker) {
    this.context = requireNonNull(context, "context");
    this.admission = new SessionAdmission(context.views(), context.limiter(), context.clock());
    this.runner = new SessionRunner(context, checker);
  }

  /**
   * Starts a session for a caller that has connected.
   *
   * @param channel the channel for replies to the caller
   */
  public CallerSession accept(CallerChannel channel) {
    CallerSession session =
        new CallerSession(
            channel,
            admission,
            runner,
            () -> context.views().get().view().configuration().transactionIdleMillis(),
            context.clock());
    sessions.add(session);
    session.start(() -> sessions.remove(session));
    if (draining) {
      session.refuseOpen();
    }
    return session;
  }

  /**
   * Returns the number of connected callers, including those that have not opened their session
   * yet.
   */
  public int openCount() {
    return sessions.size();
  }

  /** Returns the number of sessions that have a statement or a transaction in progress. */
  public int busyCount() {
    return (int) sessions.stream().filter(CallerSession::isBusy).count();
  }

  /** Returns the number of statements that admission by priority refused. */
  public long refusedCount() {
    return runner.refusedCount();
  }

  /** Returns the time that statements spent waiting before they were sent. */
  public WaitMetrics waits() {
    return runner.waitMetrics();
  }

  /** Closes the idle sessions, so that their callers open new ones at other VMs. */
  public void closeIdle() {
    sessions.stream().filter(session -> !session.isBusy()).forEach(CallerSession::closeWhenIdle);
  }

  /**
   * Closes each session as soon as it has neither a statement nor a transaction in progress, and
   * refuses new ones.
   */
  public void drain() {
    draining = true;
    sessions.forEach(CallerSession::drain);
  }

  /**
   * Ends all sessions. A statement in progress is answered with a refusal that tells whether it may
   * have run.
   */
  public void endStatements() {
    sessions.forEach(CallerSession::end);
  }

  /** Aborts all open transactions. */
  public void abortTransactions() {
    sessions.forEach(CallerSession::abortTransaction);
  }
}
