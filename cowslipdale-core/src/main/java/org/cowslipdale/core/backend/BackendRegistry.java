package org.cowslipdale.core.backend;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Stores the announced backend servers, grouped by database.
 *
 * <p>Groups are immutable; an update replaces the group. A server without an announcement for
 * {@link #EXPIRY_MILLIS} is removed. A leaving server therefore gets no new work after that time,
 * even from a VM that its announcements do not reach. This class is thread-safe.
 */
public final class BackendRegistry {

  /** The default time after its latest announcement at which a backend server is removed. */
  public static final long EXPIRY_MILLIS = 3_000;

  private final ConcurrentMap<String, BackendGroup> groups = new ConcurrentHashMap<>();
  private final long expiryMillis;

  /** Creates a registry that removes servers after {@link #EXPIRY_MILLIS}. */
  public BackendRegistry() {
    this(EXPIRY_MILLIS);
  }

  /**
   * Creates a registry.
   *
   * @param expiryMillis how long a server is retained after its latest announcement, in
   *     milliseconds
   */
  public BackendRegistry(long expiryMillis) {
    this.expiryMillis = expiryMillis;
  }

  /** Returns how long a server is retained after its latest announcement, in milliseconds. */
  public long expiryMillis() {
    return expiryMillis;
  }

  /**
   * Adds an announcement unless it has expired, a newer one of the server is known, or another
   * server has replaced the server at its address. Removes the servers that the announcing server
   * replaced.
   *
   * @param announcement the announcement
   * @param ageMillis how long ago another VM received it, in milliseconds; 0 unless it was relayed
   * @param now the current time on the VM's monotonic clock, in milliseconds
   * @return whether the announcement was added
   */
  public boolean addAnnouncement(Announcement announcement, long ageMillis, long now) {
    boolean outdated =
        ageMillis >= expiryMillis
            || groups.values().stream().anyMatch(group -> group.hasReplacementFor(announcement));
    if (outdated) {
      return false;
    }
    boolean isNew =
        group(announcement.database())
            .server(announcement.server())
            .map(known -> announcement.isNewerThan(known.announcement()))
            .orElse(true);
    if (isNew) {
      groups.replaceAll((name, group) -> group.withoutReplacedBy(announcement));
      groups.compute(
          announcement.database(),
          (name, group) ->
              (group == null ? BackendGroup.EMPTY : group)
                  .withAnnouncement(announcement, now - ageMillis));
    }
    return isNew;
  }

  /**
   * Records the log position that a server reported in a reply.
   *
   * @param database the database
   * @param server the name of the server that replied
   * @param term the term in which it replied
   * @param offset the log offset that it reported
   */
  public void recordOffset(String database, String server, long term, long offset) {
    groups.computeIfPresent(
        database, (name, group) -> group.withObservedOffset(server, term, offset));
  }

  /**
   * Removes the servers whose latest announcement has expired.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public void removeExpired(long now) {
    for (String database : groups.keySet()) {
      groups.computeIfPresent(database, (name, group) -> group.withoutExpired(now - expiryMillis));
    }
  }

  /**
   * Returns the known servers of a database.
   *
   * @param database the database
   */
  public BackendGroup group(String database) {
    return groups.getOrDefault(database, BackendGroup.EMPTY);
  }

  /** Returns the databases of which at least one server has ever been announced. */
  public Set<String> databases() {
    return Set.copyOf(groups.keySet());
  }
}
