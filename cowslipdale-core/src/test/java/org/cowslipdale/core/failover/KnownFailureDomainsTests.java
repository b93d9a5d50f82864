package org.cowslipdale.core.failover;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class KnownFailureDomainsTests {

  /** Guards against an order for a misspelt name that is acknowledged and has no effect. */
  @ParameterizedTest
  @CsvSource({
    "of-settings, true",
    "of-vm, true",
    "of-server, true",
    "evacuated, true",
    "of-serve, false",
    "'', false"
  })
  void containsNamesFromSettingsVmsServersAndEvacuations(String failureDomain, boolean known) {
    VmRecord vm = new VmRecord("vm1", "of-vm", "north", "127.0.0.1:1", 0, 0, true);
    View view =
        View.EMPTY
            .apply(new ViewCommand.RegisterVm(vm, 0))
            .view()
            .apply(new ViewCommand.BeginEvacuation("evacuated"))
            .view();
    BackendRegistry registry = new BackendRegistry();
    registry.addAnnouncement(
        new Announcement(
            "bonds",
            "bonds-1",
            "127.0.0.1:2",
            "of-server",
            "north",
            ServerRole.REPLICA,
            LogPosition.ZERO,
            0,
            1,
            1,
            false,
            1,
            1),
        0,
        0);

    assertThat(
        KnownFailureDomains.contains(failureDomain, Set.of("of-settings"), view, registry),
        is(known));
  }
}
