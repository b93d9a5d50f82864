package org.cowslipdale.core.budget;

import static java.util.Objects.requireNonNull;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/**
 * The bytes that a VM holds on behalf of its clients, by holder.
 *
 * <p>This class is thread-safe. Bytes that are held already are added without a check, so that the
 * total may exceed the limit; nothing else is granted until it has fallen below the limit again.
 */
public final class ByteBudget {

  /**
   * The bytes that a large message takes at most while it is read or runs: its text, the text sent
   * to the server and the bytes on the way there, each up to 1 MiB.
   */
  public static final long LARGE_MESSAGE_BYTES = 3L << 20;

  /** Messages above this size count as large. */
  public static final int SMALL_MESSAGE_BYTES = 64 << 10;

  private final long limit;
  private final AtomicLong total = new AtomicLong();
  private final Map<Holder, LongAdder> held = new EnumMap<>(Holder.class);

  /** What bytes are held for. */
  public enum Holder {
    /** Requests of which a part has been received. */
    READING("reading"),
    /** Requests that wait or run. */
    RUNNING("running"),
    /** Replies that are received from a server or written to a client. */
    REPLIES("replies"),
    /** Bodies of HTTP requests, and their responses. */
    HTTP("http"),
    /** Values and prepared statements of sessions. */
    SESSIONS("sessions");

    private final String label;

    Holder(String label) {
      this.label = label;
    }

    /** Returns the name in metrics and logs. */
    public String label() {
      return label;
    }
  }

  /**
   * Creates a budget.
   *
   * @param limit the maximum number of bytes to grant
   */
  public ByteBudget(long limit) {
    this.limit = limit;
    for (Holder holder : Holder.values()) {
      held.put(holder, new LongAdder());
    }
  }

  /** Returns the maximum number of bytes to grant. */
  public long limit() {
    return limit;
  }

  /** Returns the bytes held by all holders. */
  public long total() {
    return total.get();
  }

  /**
   * Returns the bytes that are held for a purpose.
   *
   * @param holder the purpose
   */
  public long held(Holder holder) {
    return adder(holder).sum();
  }

  /**
   * Adds bytes if they fit into the budget.
   *
   * <p>Large messages get at most three quarters of the budget, so that some of it remains for
   * small ones.
   *
   * @param holder what the bytes are held for
   * @param bytes the number of bytes
   * @param large whether the bytes belong to a large message
   * @return whether the bytes were added
   */
  public boolean tryAdd(Holder holder, long bytes, boolean large) {
    long available = large ? limit - limit / 4 : limit;
    while (true) {
      long current = total.get();
      if (current + bytes > available) {
        return false;
      }
      if (total.compareAndSet(current, current + bytes)) {
        adder(holder).add(bytes);
        return true;
      }
    }
  }

  /**
   * Adds bytes without a check, because they are held already.
   *
   * @param holder what the bytes are held for
   * @param bytes the number of bytes; negative to remove them
   */
  public void add(Holder holder, long bytes) {
    total.addAndGet(bytes);
    adder(holder).add(bytes);
  }

  private LongAdder adder(Holder holder) {
    return requireNonNull(held.get(holder), "holder");
  }
}
