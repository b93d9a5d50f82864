package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.VmRecord;
import org.cowslipdale.daemon.peer.PeerMessage.Announcements;
import org.cowslipdale.daemon.peer.PeerMessage.RelayedAnnouncement;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.cowslipdale.daemon.version.ViewHolder;
import org.jspecify.annotations.Nullable;

/**
 * Relays the announcements that this VM receives from backend servers to the other VMs.
 *
 * <p>An announcement that changes only the position is relayed at most once per second and server,
 * and one that changes nothing less often to VMs that serve callers. All methods run on the control
 * thread.
 */
final class AnnouncementRelay {

  private static final long POSITION_RELAY_INTERVAL_MILLIS = 1_000;

  /**
   * How many announcements that only show that a server still runs reach a VM before the first of
   * them expires.
   */
  private static final int RELAYS_BEFORE_EXPIRY = 4;

  private final String vm;
  private final BackendRegistry registry;
  private final ViewHolder views;
  private final PeerSender sender;
  private final LongSupplier clock;
  private final Map<String, Relayed> lastRelayed = new HashMap<>();
  private final Map<String, Long> lastRelayedToAllMillis = new HashMap<>();
  private final Map<String, Announcement> pending = new LinkedHashMap<>();
  private final Set<String> pendingForAll = new HashSet<>();

  /** An announcement and when it was received from the server, on this VM's monotonic clock. */
  private record Relayed(Announcement announcement, long receivedMillis) {}

  /**
   * Creates a relay.
   *
   * @param vm the name of this VM
   * @param registry the backend servers that have announced themselves
   * @param views holds the current view
   * @param sender sends messages to other VMs
   * @param clock returns the current time of the VM's monotonic clock, in milliseconds
   */
  AnnouncementRelay(
      String vm,
      BackendRegistry registry,
      ViewHolder views,
      PeerSender sender,
      LongSupplier clock) {
    this.vm = requireNonNull(vm, "vm");
    this.registry = requireNonNull(registry, "registry");
    this.views = requireNonNull(views, "views");
    this.sender = requireNonNull(sender, "sender");
    this.clock = requireNonNull(clock, "clock");
  }

  /** Records an announcement that a backend server sent to this VM and queues it for the others. */
  void addAnnouncement(Announcement announcement) {
    long now = clock.getAsLong();
    boolean changed = registry.addAnnouncement(announcement, 0, now);
    Relayed last = lastRelayed.get(announcement.server());
    if (changed) {
      logChange(last == null ? null : last.announcement(), announcement);
    }
    boolean urgent = last == null || differsBeyondPosition(last.announcement(), announcement);
    boolean due = urgent || now - last.receivedMillis() >= POSITION_RELAY_INTERVAL_MILLIS;
    if (!changed || !due) {
      return;
    }
    lastRelayed.put(announcement.server(), new Relayed(announcement, now));
    pending.put(announcement.server(), announcement);
    Long toAll = lastRelayedToAllMillis.get(announcement.server());
    if (urgent || toAll == null || now - toAll >= relayToAllIntervalMillis(announcement)) {
      lastRelayedToAllMillis.put(announcement.server(), now);
      pendingForAll.add(announcement.server());
    }
  }

  private long relayToAllIntervalMillis(Announcement announcement) {
    return announcement.position().equals(LogPosition.ZERO)
        ? Math.max(POSITION_RELAY_INTERVAL_MILLIS, registry.expiryMillis() / RELAYS_BEFORE_EXPIRY)
        : POSITION_RELAY_INTERVAL_MILLIS;
  }

  /** Records that a backend server has left permanently, and queues this for the other VMs. */
  void markAsLeaving(String server) {
    for (String database : registry.databases()) {
      registry
          .group(database)
          .server(server)
          .map(known -> known.announcement().asLeaving())
          .ifPresent(this::addAnnouncement);
    }
  }

  /** Records announcements that another VM received and relayed. */
  void addRelayedAnnouncements(Announcements announcements) {
    long now = clock.getAsLong();
    for (RelayedAnnouncement item : announcements.items()) {
      boolean changed = registry.addAnnouncement(item.announcement(), item.ageMillis(), now);
      if (changed) {
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
          .with("cold_remaining_ms", after.coldRemainingMillis())
          .write();
    }
  }

  /** Sends the pending announcements, or retains them while this VM knows no active VM. */
  void sendPending() {
    Collection<VmRecord> members = views.get().view().activeVms();
    if (pending.isEmpty() || members.isEmpty()) {
      return;
    }
    Announcements toControlVms = new Announcements(withAges(pending.values()));
    Announcements toAll =
        new Announcements(
            toControlVms.items().stream()
                .filter(item -> pendingForAll.contains(item.announcement().server()))
                .toList());
    pending.clear();
    pendingForAll.clear();
    for (VmRecord member : members) {
      Announcements message = member.servesCallers() ? toAll : toControlVms;
      if (!member.name().equals(vm) && !message.items().isEmpty()) {
        sender.send(member.name(), message);
      }
    }
  }

  /** Sends the last relayed announcement of every server to a VM that has no view yet. */
  void sendAllTo(String newVm) {
    if (!newVm.equals(vm) && !lastRelayed.isEmpty()) {
      List<Announcement> latest = lastRelayed.values().stream().map(Relayed::announcement).toList();
      sender.send(newVm, new Announcements(withAges(latest)));
    }
  }

  private List<RelayedAnnouncement> withAges(Collection<Announcement> announcements) {
    long now = clock.getAsLong();
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
        || before.announcesCold() != after.announcesCold()
        || before.position().term() != after.position().term()
        || !before.address().equals(after.address());
  }
}
