package org.cowslipdale.daemon.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.cowslipdale.daemon.peer.PeerMessage.Announcements;
import org.cowslipdale.daemon.version.ViewHolder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AnnouncementRelayTests {

  private final AtomicLong now = new AtomicLong(100_000);
  private final ViewHolder views = new ViewHolder(now.get());
  private final List<String> sent = new ArrayList<>();
  private final AnnouncementRelay relay = relay(60_000);

  /**
   * Guards against lost announcements after a restart of all VMs: servers announce themselves
   * before a leader is elected, while no VM knows the others.
   */
  @Test
  void relaysEarlierAnnouncementsOnceOtherVmsAreKnown() {
    relay.addAnnouncement(announcement("bonds-1", 1));
    relay.sendPending();
    assertThat(sent, empty());

    views.publish(view("vm1", "vm2", "vm3"), 0, 0, 0);
    relay.sendPending();
    assertThat(sent, containsInAnyOrder("vm2 bonds-1", "vm3 bonds-1"));
  }

  @Test
  void sendsAllKnownServersToNewVm() {
    views.publish(view("vm1", "vm2"), 0, 0, 0);
    relay.addAnnouncement(announcement("bonds-1", 1));
    relay.addAnnouncement(announcement("bonds-2", 1));
    relay.sendPending();
    sent.clear();

    relay.sendAllTo("vm4");

    assertThat(sent, containsInAnyOrder("vm4 bonds-1", "vm4 bonds-2"));
  }

  /**
   * Guards against traffic that grows with servers times VMs: an announcement that only shows that
   * a server still runs reaches the VMs that serve callers a few times before it expires there. The
   * control leader waits for announcements and gets them sooner.
   */
  @ParameterizedTest
  @CsvSource({"12000, 3", "3000, 8"})
  void relaysUnchangedAnnouncementsToCallerVmsLessOften(long expiryMillis, int expectedRelays) {
    AnnouncementRelay relay = relay(expiryMillis);
    views.publish(view("vm1", "vm2", "control-1"), 0, 0, 0);
    for (int i = 1; i <= 8; i++) {
      relay.addAnnouncement(announcement("bonds-1", i));
      relay.sendPending();
      now.addAndGet(1_200);
    }

    assertThat(Collections.frequency(sent, "control-1 bonds-1"), is(8));
    assertThat(Collections.frequency(sent, "vm2 bonds-1"), is(expectedRelays));
  }

  @Test
  void relaysChangesToAllVmsAtOnce() {
    views.publish(view("vm1", "vm2", "control-1"), 0, 0, 0);
    relay.addAnnouncement(announcement("bonds-1", 1));
    relay.sendPending();
    sent.clear();

    relay.addAnnouncement(announcement("bonds-1", 2).asLeaving());
    relay.sendPending();

    assertThat(sent, containsInAnyOrder("vm2 bonds-1", "control-1 bonds-1"));
  }

  /** Guards against VMs that take a server for warm until its next relayed announcement. */
  @Test
  void relaysThatAServerIsColdToAllVmsAtOnce() {
    views.publish(view("vm1", "vm2", "control-1"), 0, 0, 0);
    relay.addAnnouncement(announcement("bonds-1", 1, 0));
    relay.sendPending();
    sent.clear();

    relay.addAnnouncement(announcement("bonds-1", 2, 4_000));
    relay.sendPending();

    assertThat(sent, containsInAnyOrder("vm2 bonds-1", "control-1 bonds-1"));
  }

  private AnnouncementRelay relay(long expiryMillis) {
    return new AnnouncementRelay(
        "vm1",
        new BackendRegistry(expiryMillis),
        views,
        (to, message) ->
            ((Announcements) message)
                .items()
                .forEach(item -> sent.add(to + " " + item.announcement().server())),
        now::get);
  }

  private static View view(String... vms) {
    View view = View.EMPTY;
    for (String vm : vms) {
      boolean servesCallers = !vm.startsWith("control");
      VmRecord self = new VmRecord(vm, "a", "r", "address", 0, Long.MAX_VALUE, true, servesCallers);
      view = view.apply(new ViewCommand.RegisterVm(self, 1)).view();
    }
    return view;
  }

  private static Announcement announcement(String server, long sequence) {
    return announcement(server, sequence, 0);
  }

  private static Announcement announcement(String server, long sequence, long coldRemainingMillis) {
    return new Announcement(
        "bonds",
        server,
        "address-of-" + server,
        "a",
        "r",
        ServerRole.REPLICA,
        LogPosition.ZERO,
        0,
        5,
        30,
        false,
        1,
        sequence,
        coldRemainingMillis);
  }
}
