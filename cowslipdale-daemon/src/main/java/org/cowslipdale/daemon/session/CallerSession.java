package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.statement.TransactionState;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the connection of one caller on a dedicated virtual thread, until the connection is
 * closed.
 *
 * <p>The {@code handle} methods add the caller's input to a queue. They may be called from any
 * thread, in the order of the input. When the VM stops, the session ends after a reply that leaves
 * no transaction open; a statement that arrives later is refused.
 */
public final class CallerSession {

  private static final Logger LOG = LoggerFactory.getLogger(CallerSession.class);

  /**
   * The maximum number of queued events, such as statements that wait for the reply to an earlier
   * one.
   */
  private static final int MAX_PENDING = 64;

  private final CallerChannel channel;
  private final SessionAdmission admission;
  private final SessionRunner runner;
  private final IdleLimits idleLimits;
  private final VmClock clock;
  private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>(MAX_PENDING);
  private volatile boolean busy = true;
  private volatile boolean closed;
  private volatile boolean transactionOpen;
  private volatile boolean draining;

  /** Whether the session has ended because the VM stops; no further statement will run. */
  private volatile boolean drained;

  private final Thread thread = Thread.ofVirtual().unstarted(this::run);
  private volatile Runnable onEnd = () -> {};

  /** Input of the caller, or a request of the VM to the session. */
  private sealed interface Event {

    record Open(String route, @Nullable String key) implements Event {}

    record Run(Statement statement, long receivedMillis) implements Event {}

    record Refused(RefusalException refusal) implements Event {}

    record Invalid(RefusalException refusal) implements Event {}

    record Close() implements Event {}

    record CloseIfIdle() implements Event {}

    record AbortTransaction() implements Event {}
  }

  /** Supplies the currently configured idle limits. */
  interface IdleLimits {

    /** Returns the time after which an idle transaction is aborted, in milliseconds. */
    long transactionMillis();
  }

  CallerSession(
      CallerChannel channel,
      SessionAdmission admission,
      SessionRunner runner,
      IdleLimits idleLimits,
      VmClock clock) {
    this.channel = requireNonNull(channel, "channel");
    this.admission = requireNonNull(admission, "admission");
    this.runner = requireNonNull(runner, "runner");
    this.idleLimits = requireNonNull(idleLimits, "idleLimits");
    this.clock = requireNonNull(clock, "clock");
  }

  /**
   * Handles the request to open the session.
   *
   * @param route the name of the route
   * @param key the caller's API key, or null if it sent none
   */
  public void handleOpen(String route, @Nullable String key) {
    addEvent(new Event.Open(route, key));
  }

  /**
   * Handles a statement.
   *
   * @param statement the statement
   */
  public void handleStatement(Statement statement) {
    busy = true;
    addEvent(new Event.Run(statement, clock.millis()));
  }

  /**
   * Handles a statement that was not held and does not run.
   *
   * @param refusal the error to report to the caller
   */
  public void handleRefused(RefusalException refusal) {
    busy = true;
    addEvent(new Event.Refused(refusal));
  }

  /**
   * Handles input that cannot be parsed as a statement; the session ends after it.
   *
   * @param refusal the error to report to the caller
   */
  public void handleInvalid(RefusalException refusal) {
    addEvent(new Event.Invalid(refusal));
  }

  /** Handles the end of the caller's connection. */
  public void handleDisconnect() {
    closed = true;
    if (!events.offer(new Event.Close())) {
      events.clear();
      events.offer(new Event.Close());
    }
  }

  /** Returns whether the session has a statement or a transaction in progress. */
  boolean isBusy() {
    return !closed && (busy || transactionOpen || !events.isEmpty());
  }

  /** Requests the session to close if it has no queued input and no open transaction. */
  void closeWhenIdle() {
    events.offer(new Event.CloseIfIdle());
  }

  /**
   * Requests the session to close as soon as it has neither a statement nor a transaction in
   * progress.
   */
  void drain() {
    if (!draining) {
      draining = true;
      closeWhenIdle();
    }
  }

  /** Requests a session that was accepted during the drain to refuse the caller. */
  void refuseOpen() {
    draining = true;
  }

  /** Ends the session at once; a statement in progress is answered first. */
  void end() {
    thread.interrupt();
  }

  /** Requests the session to abort its open transaction, so that it becomes idle. */
  void abortTransaction() {
    events.offer(new Event.AbortTransaction());
  }

  /**
   * Starts the thread of the session.
   *
   * @param onSessionEnd runs when the session has ended
   */
  void start(Runnable onSessionEnd) {
    onEnd = onSessionEnd;
    thread.start();
  }

  private void run() {
    try {
      runSession();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      LOG.error("Session failed unexpectedly", e);
    } finally {
      closed = true;
      if (draining) {
        drained = true;
        refuseQueuedInput();
      }
      channel.close();
      onEnd.run();
    }
  }

  private void addEvent(Event event) {
    if (!events.offer(event)) {
      channel.refuse(
          new RefusalException(
              ResultCode.BAD_REQUEST,
              "Too many statements were sent without waiting for their replies."));
      handleDisconnect();
    }
    if (drained) {
      refuseQueuedInput();
    }
  }

  /** Answers the input that arrived while the session ended; nothing of it has run. */
  private void refuseQueuedInput() {
    RefusalException refusal = new RefusalException(ResultCode.SHUTTING_DOWN);
    for (Event event = events.poll(); event != null; event = events.poll()) {
      if (event instanceof Event.Run run) {
        SessionReply reply = SessionReply.refused(refusal, TransactionState.IDLE);
        logRefusal(run, reply);
        channel.reply(reply);
      } else if (event instanceof Event.Refused) {
        channel.reply(SessionReply.refused(refusal, TransactionState.IDLE));
      } else if (event instanceof Event.Open) {
        channel.refuse(refusal);
      }
    }
  }

  private void runSession() throws InterruptedException {
    try (Session session = awaitSession()) {
      if (session != null) {
        channel.confirmOpen();
        processEvents(session);
      }
    }
  }

  private @Nullable Session awaitSession() throws InterruptedException {
    Event first = takeEvent();
    switch (first) {
      case Event.Open open -> {
        try {
          if (draining) {
            throw new RefusalException(ResultCode.SHUTTING_DOWN);
          }
          awaitView();
          admission.authorize(open.route(), open.key());
          return new Session(open.route(), open.key(), admission, runner);
        } catch (RefusalException e) {
          DecisionLog.line(LogEvent.SESSION_REFUSED)
              .with("route", open.route())
              .with("code", e.code())
              .write();
          channel.refuse(e);
        }
      }
      case Event.Invalid invalid -> channel.refuse(invalid.refusal());
      case Event.Run ignored -> refuseNotOpen();
      case Event.Refused ignored -> refuseNotOpen();
      case Event.Close close -> LOG.debug("Caller disconnected before it opened a session");
      case Event.CloseIfIdle idle -> LOG.debug("Closing a connection without an open session");
      case Event.AbortTransaction end -> LOG.debug("Closing a connection without an open session");
    }
    return null;
  }

  private void refuseNotOpen() {
    channel.refuse(new RefusalException(ResultCode.BAD_REQUEST, "The session is not open yet."));
  }

  /**
   * Waits a limited time for the first view of a VM that has just started, or until the caller
   * disconnects.
   */
  private void awaitView() throws InterruptedException {
    long untilMillis = clock.millis() + admission.openWaitMillis();
    while (!admission.hasView() && clock.millis() < untilMillis && !closed) {
      Thread.sleep(admission.openWaitMillis() / 20);
    }
  }

  private void processEvents(Session session) throws InterruptedException {
    while (true) {
      Event event = nextEvent(session);
      switch (event) {
        case Event.Run run -> {
          channel.awaitWritable();
          SessionReply reply = execute(session, run);
          transactionOpen = session.state() != TransactionState.IDLE;
          logRefusal(run, reply);
          channel.reply(reply);
          boolean failed =
              reply.refusal() != null && reply.refusal().code() == ResultCode.INTERNAL_ERROR;
          if (failed || (draining && !transactionOpen)) {
            return;
          }
        }
        case Event.Refused refused -> {
          channel.awaitWritable();
          session.failTransaction();
          channel.reply(SessionReply.refused(refused.refusal(), session.state()));
        }
        case Event.Invalid invalid -> {
          channel.refuse(invalid.refusal());
          return;
        }
        case Event.Open again -> {
          channel.refuse(
              new RefusalException(ResultCode.BAD_REQUEST, "The session is already open."));
          return;
        }
        case Event.AbortTransaction end -> session.abortTransaction();
        case Event.CloseIfIdle idle -> {
          if (events.isEmpty() && session.state() == TransactionState.IDLE) {
            return;
          }
        }
        case Event.Close close -> {
          return;
        }
      }
    }
  }

  /** Executes a statement; after an unexpected error it is not known whether it has run. */
  private static SessionReply execute(Session session, Event.Run run) {
    try {
      return session.execute(run.statement(), run.receivedMillis());
    } catch (RuntimeException e) {
      LOG.error("Statement {} failed unexpectedly", run.statement().id(), e);
      return SessionReply.refused(new RefusalException(ResultCode.INTERNAL_ERROR), session.state());
    }
  }

  private void logRefusal(Event.Run run, SessionReply reply) {
    RefusalException refusal = reply.refusal();
    if (refusal != null) {
      DecisionLog.line(LogEvent.STATEMENT_REFUSED)
          .with("request", run.statement().id())
          .with("kind", run.statement().getClass().getSimpleName())
          .with("code", refusal.code())
          .with("message", refusal.getMessage())
          .with("outcome", refusal.code().outcome())
          .with("state", reply.state())
          .with("took_ms", clock.millis() - run.receivedMillis())
          .write();
    }
  }

  /** Waits for the next event, and aborts an open transaction that exceeds the idle limit. */
  private Event nextEvent(Session session) throws InterruptedException {
    busy = false;
    while (true) {
      if (session.state() != TransactionState.OPEN) {
        return takeEvent();
      }
      Event event = events.poll(idleLimits.transactionMillis(), TimeUnit.MILLISECONDS);
      if (event != null) {
        busy = true;
        return event;
      }
      session.abortTransaction();
    }
  }

  private Event takeEvent() throws InterruptedException {
    Event event = events.take();
    busy = true;
    return event;
  }
}
