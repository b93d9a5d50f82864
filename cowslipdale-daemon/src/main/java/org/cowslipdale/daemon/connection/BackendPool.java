package org.cowslipdale.daemon.connection;

import java.util.Deque;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.cowslipdale.core.admission.QueuePolicy;
import org.cowslipdale.core.admission.SlotQueue;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.daemon.version.VmClock;

/**
 * The connections of this VM to one backend server.
 *
 * <p>A request first gets a slot in fair order, then an idle or new connection. A connection comes
 * back only if its state is known to be clean; otherwise it is closed.
 */
public final class BackendPool implements AutoCloseable {

  private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

  private final String address;
  private final DatabaseConnector connector;
  private final VmClock clock;
  private final SlotQueue<TicketFuture> queue;
  private final Deque<BackendConnection> idle = new ConcurrentLinkedDeque<>();

  BackendPool(
      String address,
      DatabaseConnector connector,
      VmClock clock,
      QueuePolicy policy,
      int slots,
      int maxQueued) {
    this.address = address;
    this.connector = connector;
    this.clock = clock;
    this.queue = new SlotQueue<>(policy, slots, maxQueued);
  }

  String address() {
    return address;
  }

  int outstanding() {
    return queue.outstanding();
  }

  void resize(int slots) {
    queue.resize(slots);
  }

  /** Expires requests that waited too long. */
  void tick(long now) {
    TicketFuture.wake(queue.advance(now));
  }

  /**
   * Waits for a slot and a connection.
   *
   * @throws RefusalException if the wait limit forbids it; nothing was sent
   * @throws BackendException if no connection can be opened; nothing was sent
   */
  PooledConnection acquire(String customer, long deadlineMillis)
      throws RefusalException, BackendException {
    TicketFuture.awaitSlot(queue, customer, deadlineMillis, clock.millis());
    long acquiredAt = clock.millis();
    try {
      return new PooledConnection(takeOrConnect(), acquiredAt);
    } catch (BackendException e) {
      TicketFuture.wake(queue.release(0, clock.millis()));
      throw e;
    }
  }

  @Override
  public void close() {
    closeIdle();
  }

  private void closeIdle() {
    for (BackendConnection connection = idle.poll(); connection != null; connection = idle.poll()) {
      connection.close();
    }
  }

  private BackendConnection takeOrConnect() throws BackendException {
    for (BackendConnection connection = idle.poll(); connection != null; connection = idle.poll()) {
      if (connection.isUsable()) {
        return connection;
      }
      connection.close();
    }
    return connector.connect(address, CONNECT_TIMEOUT_MILLIS);
  }

  /** The use of a slot and a connection by one request or transaction. */
  public final class PooledConnection implements AutoCloseable {

    private final BackendConnection connection;
    private final long acquiredAtMillis;
    private boolean clean;

    private PooledConnection(BackendConnection connection, long acquiredAtMillis) {
      this.connection = connection;
      this.acquiredAtMillis = acquiredAtMillis;
    }

    /** Returns the connection. */
    public BackendConnection connection() {
      return connection;
    }

    /** States that the connection has no call outstanding and no transaction open. */
    public void markClean() {
      clean = true;
    }

    @Override
    public void close() {
      long now = clock.millis();
      if (clean && connection.isUsable()) {
        idle.push(connection);
      } else {
        closeWithIdleIfFailed();
      }
      TicketFuture.wake(queue.release((double) (now - acquiredAtMillis), now));
    }

    /** What made one connection fail or fall silent has probably met the idle ones too. */
    private void closeWithIdleIfFailed() {
      boolean failed = !connection.isUsable();
      connection.close();
      if (failed) {
        closeIdle();
      }
    }
  }
}
