package org.cowslipdale.core.backend;

import org.cowslipdale.core.session.LogPosition;

/**
 * What a VM knows of a backend server.
 *
 * @param announcement the latest announcement
 * @param announcedAtMillis when it was made at the latest, on the VM's monotonic clock
 * @param observedOffset the highest log offset seen in announcements and answers
 * @param leavingSinceMillis when it was first known to leave, on the VM's monotonic clock, or
 *     {@link Long#MAX_VALUE}
 */
public record BackendServer(
    Announcement announcement,
    long announcedAtMillis,
    long observedOffset,
    long leavingSinceMillis) {

  /** Returns the unique name of the server. */
  public String name() {
    return announcement.server();
  }

  /**
   * Returns for how long the server has been known to leave, in milliseconds; 0 if it does not.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public long leavingForMillis(long now) {
    return announcement.leaving() ? Math.max(0, now - leavingSinceMillis) : 0;
  }

  /** Returns the position that the server is known to have reached. */
  public LogPosition position() {
    return new LogPosition(announcement.position().term(), observedOffset);
  }

  /**
   * Returns an upper bound on the age of the server's data.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public long ageMillis(long now) {
    return announcement.ageMillis() + Math.max(0, now - announcedAtMillis);
  }
}
