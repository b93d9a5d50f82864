package org.cowslipdale.core.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The backend servers of one database that a VM knows. Immutable.
 *
 * @param servers the servers, by name
 */
public record BackendGroup(Map<String, BackendServer> servers) {

  /** A group without known servers. */
  public static final BackendGroup EMPTY = new BackendGroup(Map.of());

  /** Copies the map. */
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
   * Returns the group with an announcement applied, or this group if the announcement is not newer
   * than the known one.
   *
   * @param announcement the announcement received
   * @param announcedAtMillis when it was first received by a VM, on this VM's monotonic clock
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
    long incarnationSince =
        known != null && known.announcement().incarnation() == announcement.incarnation()
            ? known.incarnationSinceMillis()
            : announcedAtMillis;
    return with(
        new BackendServer(announcement, announcedAtMillis, offset, leavingSince, incarnationSince));
  }

  /**
   * Returns the group without servers that the announcing server has replaced at their address.
   *
   * @param announcement the announcement of the newer server
   */
  BackendGroup withoutReplacedBy(Announcement announcement) {
    Map<String, BackendServer> remaining = new HashMap<>(servers);
    remaining.values().removeIf(server -> isReplaced(server.announcement(), announcement));
    return remaining.size() == servers.size() ? this : new BackendGroup(remaining);
  }

  /** Returns whether one of the servers has replaced the announcing server at its address. */
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
   * Returns the group with a log offset that a server reported in a reply.
   *
   * @param server the name of the server
   * @param term the term in which it replied
   * @param offset the log offset that it reported
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
            known.announcement(),
            known.announcedAtMillis(),
            offset,
            known.leavingSinceMillis(),
            known.incarnationSinceMillis()));
  }

  /**
   * Returns the group without servers whose latest announcement has expired.
   *
   * @param oldestMillis the earliest time of an announcement that has not expired
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
