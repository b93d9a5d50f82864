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
 * The conversation with one caller, from its connection to its end, on a virtual thread of its own.
 *
 * <p>The methods that take in what the caller sends may be called from any thread, in order.
 */
public final class CallerSession {

  private static final Logger LOG = LoggerFactory.getLogger(CallerSession.class);

  /** Statements that a caller may send ahead of their answers. */
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

  /** What the caller sent, or what the VM wants of the session. */
  private sealed interface Event {

    record Open(String route, @Nullable String key) implements Event {}

    record Run(Statement statement, long receivedMillis) implements Event {}

    record Invalid(RefusalException refusal) implements Event {}

    record Close() implements Event {}

    record CloseIfIdle() implements Event {}

    record AbortTransaction() implements Event {}
  }

  /** How long sessions may be idle at the present time. */
  interface IdleLimits {

    /** Returns how long a transaction may stay idle, in milliseconds. */
    long transactionMillis();
  }

  CallerSession(
      CallerChannel channel,
      SessionAdmission gate,
      SessionRunner runner,
      IdleLimits limits,
      VmClock clock) {
    this.channel = requireNonNull(channel, "channel");
    this.admission = requireNonNull(gate, "gate");
    this.runner = requireNonNull(runner, "runner");
    this.idleLimits = requireNonNull(limits, "limits");
    this.clock = requireNonNull(clock, "clock");
  }

  /**
   * Takes in that the caller opens its session.
   *
   * @param route what it opens
   * @param key the key that it shows, or null
   */
  public void handleOpen(String route, @Nullable String key) {
    addEvent(new Event.Open(route, key));
  }

  /**
   * Takes in a statement.
   *
   * @param statement the statement
   */
  public void handleStatement(Statement statement) {
    busy = true;
    addEvent(new Event.Run(statement, clock.millis()));
  }

  /**
   * Takes in something that cannot be read as a statement.
   *
   * @param refusal what is wrong with it
   */
  public void handleInvalid(RefusalException refusal) {
    addEvent(new Event.Invalid(refusal));
  }

  /** Takes in that the caller has left. */
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

  /** Closes the session as soon as nothing is in progress. */
  void closeWhenIdle() {
    events.offer(new Event.CloseIfIdle());
  }

  /** Ends the open transaction, so that the session becomes idle. */
  void abortTransaction() {
    events.offer(new Event.AbortTransaction());
  }

  void start(Runnable onEnd) {
    Thread.startVirtualThread(
        () -> {
          try {
            runSession();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          } catch (RuntimeException e) {
            LOG.error("a session failed", e);
          } finally {
            closed = true;
            channel.close();
            onEnd.run();
          }
        });
  }

  private void addEvent(Event event) {
    if (!events.offer(event)) {
      channel.refuse(
          new RefusalException(
              ResultCode.BAD_REQUEST, "Too many statements were sent ahead of their answers."));
      handleDisconnect();
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
      case Event.Run run ->
          channel.refuse(
              new RefusalException(ResultCode.BAD_REQUEST, "The session is not open yet."));
      case Event.Close close -> LOG.debug("a caller left before it opened a session");
      case Event.CloseIfIdle idle -> LOG.debug("closing a connection without a session");
      case Event.AbortTransaction end -> LOG.debug("closing a connection without a session");
    }
    return null;
  }

  /** A VM that has just started waits for its first view, as long as a caller waits for it. */
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
          SessionReply reply = session.execute(run.statement(), run.receivedMillis());
          transactionOpen = session.state() != TransactionState.IDLE;
          logRefusal(run, reply);
          channel.reply(reply);
        }
        case Event.Invalid invalid -> {
          channel.refuse(invalid.refusal());
          return;
        }
        case Event.Open again -> {
          channel.refuse(
              new RefusalException(ResultCode.BAD_REQUEST, "The session is open already."));
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

  /** Waits for the next event; a transaction that stays idle for too long is aborted meanwhile. */
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
