package org.cowslipdale.daemon.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.DeclaredDocument;
import org.cowslipdale.core.view.ViewCommand;
import org.junit.jupiter.api.Test;

class RecentCommandsTests {

  private final RecentCommands recent = new RecentCommands();

  @Test
  void returnsCommandsAfterVersion() {
    ViewCommand first = configuration(1);
    ViewCommand second = new ViewCommand.BeginTerm("bonds", 1);
    recent.add(first);
    recent.add(second);

    assertThat(recent.commandsAfter(0), is(Optional.of(List.of(first, second))));
    assertThat(recent.commandsAfter(1), is(Optional.of(List.of(second))));
    assertThat(recent.commandsAfter(2), is(Optional.of(List.of())));
  }

  /**
   * Guards against long starts and transfers after many changes of the configuration: each of them
   * contains the whole configuration, and the view contains only the last one.
   */
  @Test
  void returnsNoCommandsIfTheyReplaceTheConfigurationMoreThanOnce() {
    recent.add(configuration(1));
    recent.add(new ViewCommand.BeginTerm("bonds", 1));
    recent.add(configuration(2));

    assertThat(recent.commandsAfter(0), is(Optional.empty()));
    assertThat(recent.commandsAfter(1).map(List::size), is(Optional.of(2)));
  }

  private static ViewCommand configuration(long version) {
    return new ViewCommand.ReplaceConfiguration(
        new DeclaredDocument(version, "{}"), Configuration.EMPTY, List.of());
  }
}
