package org.cowslipdale.daemon.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;

import java.util.ArrayList;
import java.util.List;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.cowslipdale.daemon.peer.PeerMessage.Announcements;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.junit.jupiter.api.Test;

class AnnouncementRelayTests {

  private final VmClock clock = new VmClock();
  private final ViewHolder views = new ViewHolder(clock.millis());
  private final List<String> sent = new ArrayList<>();
  private final AnnouncementRelay relay =
      new AnnouncementRelay(
          "vm1",
          new BackendRegistry(60_000),
          views,
          (to, message) ->
              ((Announcements) message)
                  .items()
                  .forEach(item -> sent.add(to + " " + item.announcement().server())),
          clock);

  /** After a restart of the fleet, servers announce themselves before a leader is elected. */
  @Test
  void relaysEarlierAnnouncementsOnceOtherVmsAreKnown() {
    relay.addAnnouncement(announcement("bonds-1", 1));
    relay.sendPending();
    assertThat(sent, empty());

    views.publish(view("vm1", "vm2", "vm3"), 0, 0);
    relay.sendPending();
    assertThat(sent, containsInAnyOrder("vm2 bonds-1", "vm3 bonds-1"));
  }

  @Test
  void sendsAllKnownServersToNewVm() {
    views.publish(view("vm1", "vm2"), 0, 0);
    relay.addAnnouncement(announcement("bonds-1", 1));
    relay.addAnnouncement(announcement("bonds-2", 1));
    relay.sendPending();
    sent.clear();

    relay.sendAllTo("vm4");

    assertThat(sent, containsInAnyOrder("vm4 bonds-1", "vm4 bonds-2"));
  }

  private static View view(String... vms) {
    View view = View.EMPTY;
    for (String vm : vms) {
      VmRecord self = new VmRecord(vm, "a", "r", "address", 0, Long.MAX_VALUE, true, true);
      view = view.apply(new ViewCommand.RegisterVm(self, 1)).view();
    }
    return view;
  }

  private static Announcement announcement(String server, long sequence) {
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
        sequence);
  }
}
