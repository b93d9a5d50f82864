package org.cowslipdale.core.backend;

import org.cowslipdale.core.session.LogPosition;

/**
 * What a VM knows of a backend server.
 *
 * @param announcement the latest announcement
 * @param announcedAtMillis when it was made at the latest, on the VM's monotonic clock
 * @param observedOffset the highest log offset seen in announcements and answers
 */
public record BackendServer(
    Announcement announcement, long announcedAtMillis, long observedOffset) {

  /** Returns the unique name of the server. */
  public String name() {
    return announcement.server();
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
