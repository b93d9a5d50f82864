package org.cowslipdale.daemon.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cowslipdale.core.view.ViewCommand;

/** The accepted commands of the most recent versions, which bring other VMs up to date. */
final class RecentCommands {

  private static final int MAX_COMMANDS = 1_000;

  private final Deque<ViewCommand> commands = new ArrayDeque<>();
  private long lastVersion;

  /** Forgets everything; the next command leads from the given version to the one after it. */
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

  /** Returns the commands after a version, or empty if they are not all kept. */
  Optional<List<ViewCommand>> commandsAfter(long version) {
    long missing = lastVersion - version;
    if (missing < 0 || missing > commands.size()) {
      return Optional.empty();
    }
    List<ViewCommand> all = new ArrayList<>(commands);
    return Optional.of(all.subList(all.size() - (int) missing, all.size()));
  }
}
