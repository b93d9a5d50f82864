package org.cowslipdale.core.view;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipdale.core.control.ControlState;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.ViewCommand.BeginEvacuation;
import org.cowslipdale.core.view.ViewCommand.EndEvacuation;
import org.junit.jupiter.api.Test;

/** Tests the commands that begin and end the evacuation of a failure domain. */
class EvacuationViewTests {

  private static final Configuration CONFIGURATION =
      new Configuration(Map.of(), Map.of(), Map.of(), Map.of("bonds", new Database("bonds", 3)));

  private final View evacuated =
      View.EMPTY
          .apply(new BeginEvacuation("zone-a"))
          .view()
          .apply(new BeginEvacuation("zone-b"))
          .view();

  @Test
  void addsAndRemovesFailureDomains() {
    View ended = evacuated.apply(new EndEvacuation("zone-a")).view();

    assertThat(evacuated.evacuatedDomains(), is(Set.of("zone-a", "zone-b")));
    assertThat(ended.evacuatedDomains(), is(Set.of("zone-b")));
    assertThat(ended.version(), is(3L));
  }

  /** Guards against orders that are refused or that create versions when they are resent. */
  @Test
  void acknowledgesRepeatedCommandWithoutNewVersion() {
    ControlState state = new ControlState(evacuated, List.of());

    for (ViewCommand repeated :
        List.of(new BeginEvacuation("zone-a"), new EndEvacuation("zone-c"))) {
      ControlState.ApplyResult applied = state.apply(repeated);
      assertThat(applied.result().code(), is(ResultCode.OK));
      assertThat(applied.viewChanged(), is(false));
      assertThat(applied.state().view(), sameInstance(evacuated));
    }
  }

  /** Guards against an evacuation that ends because an operator changed something else. */
  @Test
  void everyOtherCommandKeepsEvacuations() {
    List<ViewCommand> commands =
        List.of(
            new ViewCommand.ReplaceConfiguration(
                new DeclaredDocument(1, "{}"), CONFIGURATION, List.of()),
            new ViewCommand.ChangeConfiguration(
                "r1",
                0,
                1,
                CONFIGURATION.changeTo(
                    new Configuration(
                        Map.of(),
                        Map.of("acme", new Customer("acme", 10, 10, Set.of("bonds"))),
                        Map.of(),
                        CONFIGURATION.databases()))),
            new ViewCommand.AddKey("r2", 0, KeyDigester.digest("k1", "acme", "00", "secret")),
            new ViewCommand.WithdrawKey("r3", 0, "k1"),
            new ViewCommand.RegisterVm(
                new VmRecord("vm1", "zone-a", "north", "127.0.0.1:1", 0, 0, true), 0),
            new ViewCommand.RemoveVm("r4", 0, "vm1"),
            new ViewCommand.BeginTerm("bonds", 1),
            new ViewCommand.CompleteTerm("bonds", 1, "bonds-1", 0));

    View view = evacuated;
    for (ViewCommand command : commands) {
      Transition transition = view.apply(command);
      assertThat(command.toString(), transition.code(), is(ResultCode.OK));
      view = transition.view();
      assertThat(command.toString(), view.evacuatedDomains(), is(Set.of("zone-a", "zone-b")));
    }
  }

  /** Guards against a view that grows without limit. */
  @Test
  void rejectsTooManyEvacuations() {
    View view = View.EMPTY;
    for (int i = 0; i < View.MAX_EVACUATED_DOMAINS; i++) {
      view = view.apply(new BeginEvacuation("zone-" + i)).view();
    }

    assertThat(view.apply(new BeginEvacuation("other")).code(), is(ResultCode.INVALID_CHANGE));
    assertThat(view.apply(new BeginEvacuation("zone-0")).code(), is(ResultCode.OK));
  }
}
