package org.cowslipdale.core.view;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cowslipdale.core.control.ControlState;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.DatabaseState.TermStart;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ViewTests {

  private final Configuration configuration =
      new Configuration(
          Map.of(),
          Map.of("acme", new Customer("acme", 10, 10, Set.of("bonds"))),
          Map.of(),
          Map.of("bonds", new Database("bonds", 3)));
  private final View view = View.EMPTY.apply(change("r1", 0, configuration)).view();

  @Test
  void rejectsSecondChangeWithSameExpectedVersion() {
    ControlState state = new ControlState(view, List.of());
    ControlState.ApplyResult first = state.apply(change("r2", 1, Configuration.EMPTY));
    ControlState.ApplyResult second = first.state().apply(change("r3", 1, Configuration.EMPTY));

    assertThat(first.result().code(), is(ResultCode.OK));
    assertThat(second.result().code(), is(ResultCode.VERSION_CONFLICT));
  }

  @Test
  void returnsFirstResultForResentChange() {
    ControlState state = new ControlState(view, List.of());
    ControlState.ApplyResult first = state.apply(change("r2", 1, Configuration.EMPTY));
    ControlState.ApplyResult resent = first.state().apply(change("r2", 1, Configuration.EMPTY));

    assertThat(resent.result(), is(first.result()));
    assertThat(resent.state(), is(first.state()));
  }

  @Test
  void rejectsConfigurationWithUnknownNames() {
    Configuration contradictory =
        new Configuration(
            Map.of(),
            Map.of("acme", new Customer("acme", 10, 10, Set.of("nowhere"))),
            Map.of(),
            Map.of());

    Transition transition = view.apply(change("r2", 1, contradictory));

    assertThat(transition.code(), is(ResultCode.INVALID_CHANGE));
    assertThat(transition.view(), is(view));
  }

  @Test
  void withdrawsKeysOfRemovedCustomers() {
    ApiKey key = KeyDigester.digest("k1", "acme", "00", "secret");
    View withKey = view.apply(new ViewCommand.AddKey("r2", 0, key)).view();
    assertThat(
        KeyDigester.authenticate(withKey, "ck_k1_secret").map(Customer::name),
        is(Optional.of("acme")));
    assertThat(KeyDigester.authenticate(withKey, "ck_k1_wrong"), is(Optional.empty()));

    View without = withKey.apply(change("r3", 1, Configuration.EMPTY)).view();

    assertThat(KeyDigester.authenticate(without, "ck_k1_secret"), is(Optional.empty()));
  }

  @Test
  void rejectsPrimaryForCompletedOrUnstartedTerm() {
    View begun = view.apply(new ViewCommand.BeginTerm("bonds", 1)).view();
    View completed = begun.apply(new ViewCommand.CompleteTerm("bonds", 1, "bonds-1", 0)).view();

    assertThat(begun.database("bonds").primary() == null, is(true));
    assertThat(completed.database("bonds").primary(), is("bonds-1"));
    assertThat(
        completed.apply(new ViewCommand.CompleteTerm("bonds", 1, "bonds-2", 0)).code(),
        is(ResultCode.INVALID_CHANGE));
    assertThat(
        completed.apply(new ViewCommand.BeginTerm("bonds", 3)).code(),
        is(ResultCode.INVALID_CHANGE));
  }

  @ParameterizedTest
  @CsvSource({
    "1, 10, true",
    "1, 11, false",
    "2, 14, true",
    "2, 16, false",
    "3, 99, true",
    "9, 1, false",
    "0, 0, true"
  })
  void detectsPositionsLostWithEarlierTerm(long term, long offset, boolean alive) {
    DatabaseState state =
        new DatabaseState(
            3, "bonds-2", List.of(new TermStart(1, 0), new TermStart(2, 10), new TermStart(3, 15)));

    assertThat(state.contains(new LogPosition(term, offset)), is(alive));
  }

  @Test
  void appliedDifferenceYieldsTargetConfiguration() {
    Configuration other =
        new Configuration(
            Map.of(),
            Map.of("acme", new Customer("acme", 20, 10, Set.of("grants"))),
            Map.of(),
            Map.of("grants", new Database("grants", 3)));

    assertThat(configuration.apply(configuration.changeTo(other)), is(other));
    assertThat(configuration, is(not(other)));
  }

  private static ViewCommand.ChangeConfiguration change(
      String requestId, long expectedVersion, Configuration target) {
    Configuration base =
        expectedVersion == 0
            ? Configuration.EMPTY
            : new Configuration(
                Map.of(),
                Map.of("acme", new Customer("acme", 10, 10, Set.of("bonds"))),
                Map.of(),
                Map.of("bonds", new Database("bonds", 3)));
    return new ViewCommand.ChangeConfiguration(
        requestId, 0, expectedVersion, base.changeTo(target));
  }
}
