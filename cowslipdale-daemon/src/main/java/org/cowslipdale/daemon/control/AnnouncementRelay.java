package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.view.VmRecord;
import org.cowslipdale.daemon.peer.PeerMessage.Announcements;
import org.cowslipdale.daemon.peer.PeerMessage.RelayedAnnouncement;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/**
 * Passes the announcements that this VM receives from backend servers on to the other VMs.
 *
 * <p>An announcement that changes nothing but the position is passed on at most once a second for
 * each server. All methods run on the control thread.
 */
final class AnnouncementRelay {

  private static final long POSITION_RELAY_INTERVAL_MILLIS = 1_000;

  private final String vm;
  private final BackendRegistry registry;
  private final ViewHolder views;
  private final PeerSender sender;
  private final VmClock clock;
  private final Map<String, Relayed> lastRelayed = new HashMap<>();
  private final Map<String, Announcement> pending = new LinkedHashMap<>();

  private record Relayed(Announcement announcement, long receivedMillis) {}

  AnnouncementRelay(
      String vm, BackendRegistry registry, ViewHolder views, PeerSender sender, VmClock clock) {
    this.vm = requireNonNull(vm, "vm");
    this.registry = requireNonNull(registry, "registry");
    this.views = requireNonNull(views, "views");
    this.sender = requireNonNull(sender, "sender");
    this.clock = requireNonNull(clock, "clock");
  }

  /** Takes in an announcement that a backend server made to this VM. */
  void addAnnouncement(Announcement announcement) {
    long now = clock.millis();
    boolean news = registry.addAnnouncement(announcement, 0, now);
    Relayed last = lastRelayed.get(announcement.server());
    if (news) {
      logChange(last == null ? null : last.announcement(), announcement);
    }
    boolean due =
        last == null
            || now - last.receivedMillis() >= POSITION_RELAY_INTERVAL_MILLIS
            || differsBeyondPosition(last.announcement(), announcement);
    if (news && due) {
      lastRelayed.put(announcement.server(), new Relayed(announcement, now));
      pending.put(announcement.server(), announcement);
    }
  }

  /** Takes in that a backend server has left for good. */
  void markAsLeaving(String server) {
    for (String database : registry.databases()) {
      registry
          .group(database)
          .server(server)
          .map(known -> known.announcement().asLeaving())
          .ifPresent(this::addAnnouncement);
    }
  }

  /** Takes in announcements that another VM received. */
  void addRelayedAnnouncements(Announcements announcements) {
    long now = clock.millis();
    for (RelayedAnnouncement item : announcements.items()) {
      boolean news = registry.addAnnouncement(item.announcement(), item.ageMillis(), now);
      if (news) {
        Relayed last = lastRelayed.get(item.announcement().server());
        logChange(last == null ? null : last.announcement(), item.announcement());
        lastRelayed.put(
            item.announcement().server(), new Relayed(item.announcement(), now - item.ageMillis()));
      }
    }
  }

  private static void logChange(@Nullable Announcement before, Announcement after) {
    if (before == null || differsBeyondPosition(before, after)) {
      DecisionLog.line(LogEvent.SERVER_CHANGED)
          .with("server", after.server())
          .with("database", after.database())
          .with("role", after.role())
          .with("leaving", after.leaving())
          .with("incarnation", after.incarnation())
          .with("sequence", after.sequence())
          .write();
    }
  }

  /** Sends what is pending; it waits while this VM does not know the others. */
  void sendPending() {
    Collection<VmRecord> members = views.get().view().activeVms();
    if (pending.isEmpty() || members.isEmpty()) {
      return;
    }
    Announcements news = new Announcements(withAges(pending.values()));
    pending.clear();
    for (VmRecord member : members) {
      if (!member.name().equals(vm)) {
        sender.send(member.name(), news);
      }
    }
  }

  /** Sends all that is known to a VM that knows nothing yet. */
  void sendAllTo(String newcomer) {
    if (!newcomer.equals(vm) && !lastRelayed.isEmpty()) {
      List<Announcement> known = lastRelayed.values().stream().map(Relayed::announcement).toList();
      sender.send(newcomer, new Announcements(withAges(known)));
    }
  }

  private List<RelayedAnnouncement> withAges(Collection<Announcement> announcements) {
    long now = clock.millis();
    return announcements.stream()
        .map(each -> new RelayedAnnouncement(each, ageMillis(lastRelayed.get(each.server()), now)))
        .toList();
  }

  private static long ageMillis(@Nullable Relayed last, long now) {
    return last == null ? 0 : now - last.receivedMillis();
  }

  private static boolean differsBeyondPosition(Announcement before, Announcement after) {
    return before.role() != after.role()
        || before.leaving() != after.leaving()
        || before.incarnation() != after.incarnation()
        || before.position().term() != after.position().term()
        || !before.address().equals(after.address());
  }
}
