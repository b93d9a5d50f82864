package org.cowslipdale.daemon.client;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.budget.ByteBudget.Holder;

/** The bytes of the budget that one message holds. This class is thread-safe. */
public final class MemoryClaim {

  private final ClientGuard guard;
  private final Holder holder;
  private long held;
  private boolean ended;

  MemoryClaim(ClientGuard guard, Holder holder) {
    this.guard = requireNonNull(guard, "guard");
    this.holder = requireNonNull(holder, "holder");
  }

  /** Returns the bytes held. */
  public synchronized long held() {
    return held;
  }

  /**
   * Claims bytes if they fit into the budget.
   *
   * @param bytes the bytes to hold in all; has no effect if at least as many are held
   * @param large whether they belong to a large message
   * @return whether the bytes are held
   */
  public synchronized boolean tryHold(long bytes, boolean large) {
    if (ended || bytes <= held) {
      return true;
    }
    if (!guard.budget().tryAdd(holder, bytes - held, large)) {
      return false;
    }
    held = bytes;
    return true;
  }

  /**
   * Sets the bytes that are held, without a check.
   *
   * @param bytes the bytes held in all
   */
  public synchronized void hold(long bytes) {
    long difference = (ended ? 0 : bytes) - held;
    if (difference == 0) {
      return;
    }
    held += difference;
    if (difference > 0) {
      guard.budget().add(holder, difference);
    } else {
      guard.release(holder, -difference);
    }
  }

  /** Releases the bytes; nothing is held from then on. */
  public synchronized void end() {
    hold(0);
    ended = true;
  }

  synchronized boolean isEnded() {
    return ended;
  }
}
