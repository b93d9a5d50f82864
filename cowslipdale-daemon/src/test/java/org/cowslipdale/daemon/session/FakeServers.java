package org.cowslipdale.daemon.session;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.ServerCommand;
import org.cowslipdale.core.statement.ServerFailure;
import org.cowslipdale.core.statement.ServerReply;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.statement.TransactionState;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.connection.ServerRef;

/**
 * In-process backend servers that answer every statement; the replies to chosen statements can be
 * delayed.
 */
final class FakeServers implements SessionConnector {

  private final Map<String, CountDownLatch> answerLatches = new ConcurrentHashMap<>();
  private final Queue<String> runs = new ConcurrentLinkedQueue<>();
  private final Queue<String> commands = new ConcurrentLinkedQueue<>();
  private final AtomicInteger openedConnections = new AtomicInteger();
  private final AtomicInteger openConnections = new AtomicInteger();
  private final AtomicInteger rollbacks = new AtomicInteger();
  private volatile boolean busy;
  private volatile long connectDelayMillis;
  private volatile long statementDelayMillis;
  private volatile boolean breakOnPrepare;
  private volatile boolean failOnConnect;
  private final AtomicInteger commandCount = new AtomicInteger();

  /** Delays the reply to a statement until the returned latch is released. */
  CountDownLatch holdAnswer(String id) {
    return answerLatches.computeIfAbsent(id, key -> new CountDownLatch(1));
  }

  /** Makes the servers reject statements as busy, or not any more. */
  void rejectAsBusy(boolean busy) {
    this.busy = busy;
  }

  /** Delays the opening of every later connection. */
  void delayConnections(long millis) {
    connectDelayMillis = millis;
  }

  /** Makes the opening of connections fail with an unexpected error, or not any more. */
  void failOnConnect(boolean fail) {
    failOnConnect = fail;
  }

  /** Delays the arrival of every later statement. */
  void delayStatements(long millis) {
    statementDelayMillis = millis;
  }

  /** Makes every connection fail from now on when a statement is prepared on it. */
  void breakOnPrepare() {
    breakOnPrepare = true;
  }

  /**
   * Returns the statements that ran, each as the name of the server and the id of the statement.
   */
  List<String> runs() {
    return List.copyOf(runs);
  }

  /** Returns the number of commands that arrived, including those that prepare a connection. */
  int commandCount() {
    return commandCount.get();
  }

  /**
   * Returns the commands other than statements that were executed, each as the name of the server
   * and the command.
   */
  List<String> commands() {
    return List.copyOf(commands);
  }

  /** Returns the number of connections that were opened so far. */
  int openedConnections() {
    return openedConnections.get();
  }

  /** Returns the number of connections that are open. */
  int openConnections() {
    return openConnections.get();
  }

  /** Returns how many transactions were rolled back because their connection was closed. */
  int rollbacks() {
    return rollbacks.get();
  }

  @Override
  public ServerConnection connect(ServerRef server, String customer, long timeoutMillis)
      throws BackendException {
    pause(connectDelayMillis);
    if (failOnConnect) {
      throw new IllegalStateException("unexpected");
    }
    openedConnections.incrementAndGet();
    openConnections.incrementAndGet();
    return new Connection(server.server());
  }

  private static void pause(long millis) throws BackendException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new BackendException(false, e);
    }
  }

  private final class Connection implements ServerConnection {

    private final String server;
    private volatile boolean usable = true;
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile TransactionState state = TransactionState.IDLE;

    Connection(String server) {
      this.server = server;
    }

    @Override
    public ServerReply execute(ServerCommand command, long timeoutMillis) throws BackendException {
      commandCount.incrementAndGet();
      if (command instanceof ServerCommand.Prepare && breakOnPrepare) {
        usable = false;
        throw new BackendException(true, new IOException("the connection broke"));
      }
      if (command instanceof ServerCommand.Run && busy) {
        return new ServerReply(
            List.of(), "", ServerFailure.BUSY, TransactionState.IDLE, new LogPosition(1, 7));
      }
      if (command instanceof ServerCommand.Run run) {
        pause(statementDelayMillis);
        runs.add(server + " " + run.statement().id());
        awaitRelease(run.statement().id(), timeoutMillis);
        state = nextState(run.statement());
      } else {
        commands.add(server + " " + command);
      }
      return new ServerReply(List.of("row"), "signed", null, state, new LogPosition(1, 7));
    }

    private TransactionState nextState(Statement statement) {
      return switch (statement) {
        case Statement.Begin begin -> TransactionState.OPEN;
        case Statement.Commit commit -> TransactionState.IDLE;
        case Statement.Rollback rollback -> TransactionState.IDLE;
        default -> state;
      };
    }

    private void awaitRelease(String id, long timeoutMillis) throws BackendException {
      CountDownLatch latch = answerLatches.get(id);
      try {
        if (latch != null && !latch.await(timeoutMillis, TimeUnit.MILLISECONDS)) {
          usable = false;
          throw new BackendException(true, new IOException("no answer"));
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new BackendException(true, e);
      }
    }

    @Override
    public boolean isUsable() {
      return usable;
    }

    @Override
    public void close() {
      usable = false;
      if (closed.compareAndSet(false, true)) {
        openConnections.decrementAndGet();
        if (state != TransactionState.IDLE) {
          rollbacks.incrementAndGet();
        }
      }
    }
  }
}
