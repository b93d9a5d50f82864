package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Serves callers' sessions, whatever protocol they came by. */
public final class SessionServer {

  private final SessionContext context;
  private final SessionAdmission admission;
  private final SessionRunner runner;
  private final Set<CallerSession> sessions = ConcurrentHashMap.newKeySet();

  /**
   * Creates the server.
   *
   * @param context what all sessions share
   * @param checker checks primaries that seem to fail
   */
  public SessionServer(SessionContext context, PrimaryChecker checker) {
    this.context = requireNonNull(context, "context");
    this.admission = new SessionAdmission(context.views(), context.limiter(), context.clock());
    this.runner = new SessionRunner(context, checker);
  }

  /**
   * Begins the conversation with a caller that has connected.
   *
   * @param channel the way back to the caller
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
    return session;
  }

  /** Returns how many sessions are open. */
  public int openCount() {
    return sessions.size();
  }

  /** Returns how many sessions have a statement or a transaction in progress. */
  public int busyCount() {
    return (int) sessions.stream().filter(CallerSession::isBusy).count();
  }

  /** Closes the sessions that are idle; callers open new ones elsewhere. */
  public void closeIdle() {
    sessions.stream().filter(session -> !session.isBusy()).forEach(CallerSession::closeWhenIdle);
  }

  /** Ends all open transactions. */
  public void abortTransactions() {
    sessions.forEach(CallerSession::abortTransaction);
  }
}
