package org.cowslipdale.core.backend;

import org.cowslipdale.core.session.LogPosition;

/**
 * The information that a VM has about a backend server.
 *
 * @param announcement the latest announcement
 * @param announcedAtMillis when it was first received by a VM, on this VM's monotonic clock
 * @param observedOffset the highest log offset in the server's announcements and replies
 * @param leavingSinceMillis the time of the first announcement that it is leaving, on the VM's
 *     monotonic clock, or {@link Long#MAX_VALUE} if it is not leaving
 * @param incarnationSinceMillis the time of the first announcement of its incarnation, on the VM's
 *     monotonic clock
 */
public record BackendServer(
    Announcement announcement,
    long announcedAtMillis,
    long observedOffset,
    long leavingSinceMillis,
    long incarnationSinceMillis) {

  /** Bounds the effect of a mistaken announcement or configuration. */
  private static final long MAX_COLD_MILLIS = 3_600_000;

  /** Returns the unique name of the server. */
  public String name() {
    return announcement.server();
  }

  /**
   * Returns how long the server has been known to be leaving, in milliseconds; 0 if it is not.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public long leavingForMillis(long now) {
    return announcement.leaving() ? Math.max(0, now - leavingSinceMillis) : 0;
  }

  /**
   * Returns the time until which the server is slow because it has just started, on the VM's
   * monotonic clock in milliseconds.
   *
   * @param coldStartMillis how long it stays slow if it does not announce that itself, in
   *     milliseconds
   */
  public long coldUntilMillis(long coldStartMillis) {
    Long remaining = announcement.coldRemainingMillis();
    return remaining == null
        ? incarnationSinceMillis + Math.min(coldStartMillis, MAX_COLD_MILLIS)
        : announcedAtMillis + Math.min(remaining, MAX_COLD_MILLIS);
  }

  /** Returns the position that the server is known to have reached. */
  public LogPosition position() {
    return new LogPosition(announcement.position().term(), observedOffset);
  }

  /**
   * Returns the maximum age of the server's data, in milliseconds.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public long ageMillis(long now) {
    return announcement.ageMillis() + Math.max(0, now - announcedAtMillis);
  }
}
