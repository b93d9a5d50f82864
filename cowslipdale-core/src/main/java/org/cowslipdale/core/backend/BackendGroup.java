package org.cowslipdale.core.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The backend servers of one database that a VM knows; immutable.
 *
 * @param servers the servers, by name
 */
public record BackendGroup(Map<String, BackendServer> servers) {

  /** A group without known servers. */
  public static final BackendGroup EMPTY = new BackendGroup(Map.of());

  /** Copies the servers. */
  public BackendGroup {
    servers = Map.copyOf(servers);
  }

  /**
   * Returns a server by name.
   *
   * @param name the name of the server
   */
  public Optional<BackendServer> server(String name) {
    return Optional.ofNullable(servers.get(name));
  }

  /**
   * Returns the group after an announcement; an announcement that is not newer changes nothing.
   *
   * @param announcement the announcement received
   * @param announcedAtMillis when it was made at the latest, on the VM's monotonic clock
   */
  BackendGroup withAnnouncement(Announcement announcement, long announcedAtMillis) {
    BackendServer known = servers.get(announcement.server());
    if (known != null && !announcement.isNewerThan(known.announcement())) {
      return this;
    }
    long offset = announcement.position().offset();
    if (known != null && isSameHistory(known.announcement(), announcement)) {
      offset = Math.max(offset, known.observedOffset());
    }
    long leavingSince =
        !announcement.leaving()
            ? Long.MAX_VALUE
            : known == null || !known.announcement().leaving()
                ? announcedAtMillis
                : known.leavingSinceMillis();
    return with(new BackendServer(announcement, announcedAtMillis, offset, leavingSince));
  }

  /**
   * Returns the group without servers that an announcement has replaced at their address.
   *
   * @param announcement the announcement
   */
  BackendGroup withoutReplacedBy(Announcement announcement) {
    Map<String, BackendServer> remaining = new HashMap<>(servers);
    remaining.values().removeIf(server -> isReplaced(server.announcement(), announcement));
    return remaining.size() == servers.size() ? this : new BackendGroup(remaining);
  }

  /** Tells whether one of the servers has taken over the address of an announcement. */
  boolean hasReplacementFor(Announcement announcement) {
    return servers.values().stream()
        .anyMatch(server -> isReplaced(announcement, server.announcement()));
  }

  private static boolean isReplaced(Announcement older, Announcement newer) {
    return older.address().equals(newer.address())
        && !older.server().equals(newer.server())
        && older.incarnation() < newer.incarnation();
  }

  /**
   * Returns the group after an answer of a server showed its log offset.
   *
   * @param server the name of the server
   * @param term the term in which it answered
   * @param offset the log offset at which it answered
   */
  BackendGroup withObservedOffset(String server, long term, long offset) {
    BackendServer known = servers.get(server);
    if (known == null
        || known.announcement().position().term() != term
        || known.observedOffset() >= offset) {
      return this;
    }
    return with(
        new BackendServer(
            known.announcement(), known.announcedAtMillis(), offset, known.leavingSinceMillis()));
  }

  /**
   * Returns the group without servers that have been silent for too long.
   *
   * @param oldestMillis the time of the oldest announcement that still counts
   */
  BackendGroup withoutExpired(long oldestMillis) {
    Map<String, BackendServer> remaining = new HashMap<>(servers);
    remaining.values().removeIf(server -> server.announcedAtMillis() < oldestMillis);
    return remaining.size() == servers.size() ? this : new BackendGroup(remaining);
  }

  private static boolean isSameHistory(Announcement older, Announcement newer) {
    return older.incarnation() == newer.incarnation()
        && older.position().term() == newer.position().term();
  }

  private BackendGroup with(BackendServer server) {
    Map<String, BackendServer> next = new HashMap<>(servers);
    next.put(server.name(), server);
    return new BackendGroup(next);
  }
}
