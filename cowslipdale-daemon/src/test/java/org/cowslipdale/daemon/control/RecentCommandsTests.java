package org.cowslipdale.daemon.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.cowslipdale.core.view.CommandSize;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.ConfigurationChange;
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

  /** Guards against memory that grows with the size of the commands. */
  @Test
  void retainsCommandsWithinMemoryLimit() {
    int changes = 100;
    for (int i = 0; i < changes; i++) {
      recent.add(largeChange());
    }

    int retained = 0;
    while (recent.commandsAfter(changes - retained - 1).isPresent()) {
      retained++;
    }
    assertThat(retained, is(greaterThan(0)));
    assertThat(
        retained * CommandSize.estimatedBytes(largeChange()),
        is(lessThanOrEqualTo(RecentCommands.MAX_BYTES)));
  }

  /** Returns a change of some hundred KB. */
  private static ViewCommand largeChange() {
    List<String> names = Collections.nCopies(1_000, "class");
    ConfigurationChange change =
        new ConfigurationChange(
            List.of(), names, List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
    return new ViewCommand.ChangeConfiguration("request", 0, 1, change);
  }

  private static ViewCommand configuration(long version) {
    return new ViewCommand.ReplaceConfiguration(
        new DeclaredDocument(version, "{}"), Configuration.EMPTY, List.of());
  }
}
