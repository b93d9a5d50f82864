package org.cowslipdale.core.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.DeclaredDocument;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.KeyDigester;
import org.cowslipdale.core.view.SessionRoute;
import org.cowslipdale.core.view.ViewCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests for the replacement of the whole configuration in the control state. */
class ControlStateTests {

  private final ControlState stateWithVersionFive =
      ControlState.EMPTY.apply(replacement(5, "first", "bonds")).state();

  @Test
  void appliesHigherDocumentVersion() {
    ControlState.ApplyResult applied =
        stateWithVersionFive.apply(replacement(7, "second", "bonds"));

    assertThat(applied.viewChanged(), is(true));
    assertThat(applied.state().view().document(), is(new DeclaredDocument(7, "second")));
  }

  /**
   * VMs receive the commands that changed the view, one for each version. A command that is
   * reported as a change without a new version would prevent all VMs from following the leader.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 5})
  void acknowledgesOlderOrEqualVersionWithoutViewChange(long version) {
    ControlState.ApplyResult applied =
        stateWithVersionFive.apply(replacement(version, "other", "bonds"));

    assertThat(applied.result().code(), is(ResultCode.OK));
    assertThat(applied.viewChanged(), is(false));
    assertThat(applied.state().view(), is(stateWithVersionFive.view()));
  }

  @Test
  void rejectsRouteToUnknownDatabase() {
    ControlState.ApplyResult applied =
        stateWithVersionFive.apply(replacement(9, "third", "grants"));

    assertThat(applied.result().code(), is(ResultCode.INVALID_CHANGE));
    assertThat(applied.state(), is(stateWithVersionFive));
  }

  private static ViewCommand replacement(long version, String text, String routeDatabase) {
    SessionRoute route =
        new SessionRoute("shop", routeDatabase, new Freshness.Latest(), 800, 1_000, 0, false);
    Configuration configuration =
        new Configuration(
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of("bonds", new Database("bonds", 3)),
            Map.of("shop", route),
            3_000);
    return new ViewCommand.ReplaceConfiguration(
        new DeclaredDocument(version, text),
        configuration,
        List.of(KeyDigester.digestOpaque("secret", "acme")));
  }
}
