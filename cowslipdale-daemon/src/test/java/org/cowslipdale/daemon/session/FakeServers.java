package org.cowslipdale.daemon.session;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.ServerCommand;
import org.cowslipdale.core.statement.ServerFailure;
import org.cowslipdale.core.statement.ServerReply;
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
  private volatile boolean busy;
  private volatile long connectDelayMillis;
  private volatile long statementDelayMillis;
  private volatile boolean breakOnPrepare;
  private volatile boolean failOnConnect;

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

  @Override
  public ServerConnection connect(ServerRef server, String customer, long timeoutMillis)
      throws BackendException {
    pause(connectDelayMillis);
    if (failOnConnect) {
      throw new IllegalStateException("unexpected");
    }
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

    Connection(String server) {
      this.server = server;
    }

    @Override
    public ServerReply execute(ServerCommand command, long timeoutMillis) throws BackendException {
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
      }
      return new ServerReply(
          List.of("row"), "signed", null, TransactionState.IDLE, new LogPosition(1, 7));
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
    }
  }
}
