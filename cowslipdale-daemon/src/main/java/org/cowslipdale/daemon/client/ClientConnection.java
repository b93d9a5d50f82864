package org.cowslipdale.daemon.client;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.atomic.AtomicLong;
import org.cowslipdale.core.budget.ByteBudget.Holder;
import org.cowslipdale.core.budget.ClientLimits;
import org.cowslipdale.core.budget.ClientLimits.Use;

/**
 * The connection of a client: what it holds and since when.
 *
 * <p>The times are counted by the ticks of the guard, so that a VM that was suspended does not
 * count the time for which it did not read. The methods may be called from any thread.
 */
public final class ClientConnection {

  /** Fewer bytes between two ticks are no progress, so that single bytes do not count. */
  private static final long PROGRESS_BYTES = 2_048;

  private final ClientGuard guard;
  private final ClientGuard.Port port;
  private final Runnable closer;
  private final MemoryClaim reading;
  private final AtomicLong received = new AtomicLong();
  private final AtomicLong unwritten = new AtomicLong();
  private volatile boolean opened;
  private volatile boolean inMessage;
  private volatile boolean paused;
  private volatile boolean wrote;
  private long ageMillis;
  private long readMillis;
  private long readStallMillis;
  private long writeStallMillis;

  ClientConnection(ClientGuard guard, ClientGuard.Port port, Runnable closer) {
    this.guard = requireNonNull(guard, "guard");
    this.port = requireNonNull(port, "port");
    this.closer = requireNonNull(closer, "closer");
    this.reading =
        new MemoryClaim(guard, port == ClientGuard.Port.SESSIONS ? Holder.READING : Holder.HTTP);
  }

  /** Returns the memory that the message being read holds. */
  public MemoryClaim reading() {
    return reading;
  }

  /**
   * Records whether the client has done what its port expects first. Only other connections are
   * closed when there are too many.
   *
   * @param newOpened whether it has
   */
  public void setOpened(boolean newOpened) {
    if (opened && !newOpened) {
      synchronized (this) {
        ageMillis = 0;
      }
    }
    opened = newOpened;
  }

  /**
   * Records whether a message has begun that is not complete.
   *
   * @param newInMessage whether it has
   */
  public void setInMessage(boolean newInMessage) {
    if (inMessage != newInMessage) {
      inMessage = newInMessage;
      synchronized (this) {
        readMillis = 0;
        readStallMillis = 0;
      }
    }
  }

  /**
   * Records that bytes were received.
   *
   * @param bytes the number of bytes
   */
  public void recordReceived(int bytes) {
    received.addAndGet(bytes);
  }

  /**
   * Records whether this VM has stopped reading; the time does not count against the client.
   *
   * @param newPaused whether it has
   */
  public void setPaused(boolean newPaused) {
    paused = newPaused;
  }

  /**
   * Records that bytes are written from now on.
   *
   * @param bytes the number of bytes
   */
  public void recordWriting(long bytes) {
    unwritten.addAndGet(bytes);
    guard.budget().add(Holder.REPLIES, bytes);
  }

  /**
   * Records that bytes were written, or that the connection ended before.
   *
   * @param bytes the number of bytes
   */
  public void recordWritten(long bytes) {
    wrote = true;
    unwritten.addAndGet(-bytes);
    guard.release(Holder.REPLIES, bytes);
  }

  /** Returns the bytes of replies that are not written yet. */
  public long unwritten() {
    return unwritten.get();
  }

  /** Records that the connection has ended. */
  public void end() {
    reading.end();
    guard.remove(this);
  }

  ClientGuard.Port port() {
    return port;
  }

  boolean isOpened() {
    return opened;
  }

  synchronized long ageMillis() {
    return ageMillis;
  }

  void close() {
    closer.run();
  }

  /** Counts the time since the latest tick and returns the use. */
  synchronized Use tick(long elapsedMillis) {
    ageMillis += elapsedMillis;
    if (inMessage && !paused) {
      readMillis += elapsedMillis;
      readStallMillis += elapsedMillis;
      if (received.get() >= PROGRESS_BYTES) {
        received.set(0);
        readStallMillis = 0;
      }
    }
    if (unwritten.get() == 0 || wrote) {
      wrote = false;
      writeStallMillis = 0;
    } else {
      writeStallMillis += elapsedMillis;
    }
    return new Use(
        opened,
        ageMillis,
        readMillis,
        readStallMillis,
        writeStallMillis,
        reading.held() + unwritten.get());
  }

  long helloMillis(ClientLimits limits) {
    return port.helloMillis(limits);
  }
}
