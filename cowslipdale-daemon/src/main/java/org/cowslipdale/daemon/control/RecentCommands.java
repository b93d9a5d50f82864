package org.cowslipdale.daemon.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cowslipdale.core.view.ViewCommand;

/** The most recent accepted commands, from which other VMs update their views. */
final class RecentCommands {

  private static final int MAX_COMMANDS = 1_000;

  private final Deque<ViewCommand> commands = new ArrayDeque<>();
  private long lastVersion;

  /** Removes all commands; the next command added applies to a view of the given version. */
  void reset(long version) {
    commands.clear();
    lastVersion = version;
  }

  void add(ViewCommand command) {
    commands.add(command);
    lastVersion++;
    if (commands.size() > MAX_COMMANDS) {
      commands.remove();
    }
  }

  /**
   * Returns the commands after a version, or empty if the whole view is to be sent instead: some of
   * the commands are not retained, or several of them contain a whole configuration.
   */
  Optional<List<ViewCommand>> commandsAfter(long version) {
    long missing = lastVersion - version;
    if (missing < 0 || missing > commands.size()) {
      return Optional.empty();
    }
    List<ViewCommand> all = new ArrayList<>(commands);
    List<ViewCommand> after = all.subList(all.size() - (int) missing, all.size());
    long configurations =
        after.stream().filter(ViewCommand.ReplaceConfiguration.class::isInstance).count();
    return configurations > 1 ? Optional.empty() : Optional.of(after);
  }
}
