package org.cowslipdale.core.backend;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * Holds the backend servers that announced themselves, grouped by database.
 *
 * <p>Readers get immutable groups; writers replace them. A server that has not been heard of for
 * {@link #EXPIRY_MILLIS} is dropped, so a server that leaves gets no new work after that time even
 * from a VM that cannot hear of it. This class is safe for use by several threads.
 */
public final class BackendRegistry {

  /** How long a backend server is kept after its latest announcement. */
  public static final long EXPIRY_MILLIS = 3_000;

  private final ConcurrentMap<String, BackendGroup> groups = new ConcurrentHashMap<>();
  private final long expiryMillis;

  /** Creates a registry that drops servers after {@link #EXPIRY_MILLIS}. */
  public BackendRegistry() {
    this(EXPIRY_MILLIS);
  }

  /**
   * Creates a registry.
   *
   * @param lapseMillis how long a server is kept after its latest announcement, in milliseconds
   */
  public BackendRegistry(long lapseMillis) {
    this.expiryMillis = lapseMillis;
  }

  /**
   * Takes in an announcement.
   *
   * @param announcement the announcement
   * @param ageMillis how long ago it was made at most, because other VMs relayed it
   * @param now the present time on the VM's monotonic clock, in milliseconds
   * @return whether the announcement was news
   */
  public boolean addAnnouncement(Announcement announcement, long ageMillis, long now) {
    boolean outdated =
        ageMillis >= expiryMillis
            || groups.values().stream().anyMatch(group -> group.hasReplacementFor(announcement));
    if (outdated) {
      return false;
    }
    boolean news =
        group(announcement.database())
            .server(announcement.server())
            .map(known -> announcement.isNewerThan(known.announcement()))
            .orElse(true);
    if (news) {
      groups.replaceAll((name, group) -> group.withoutReplacedBy(announcement));
      groups.compute(
          announcement.database(),
          (name, group) ->
              (group == null ? BackendGroup.EMPTY : group)
                  .withAnnouncement(announcement, now - ageMillis));
    }
    return news;
  }

  /**
   * Takes in the log position that came with an answer.
   *
   * @param database the database
   * @param server the name of the server that answered
   * @param term the term in which it answered
   * @param offset the log offset at which it answered
   */
  public void recordOffset(String database, String server, long term, long offset) {
    groups.computeIfPresent(database, (name, group) -> group.withObservedOffset(server, term, offset));
  }

  /**
   * Drops the servers that have been silent for too long.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
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

  /** Returns the databases of which at least one server was ever heard. */
  public Set<String> databases() {
    return Set.copyOf(groups.keySet());
  }
}
