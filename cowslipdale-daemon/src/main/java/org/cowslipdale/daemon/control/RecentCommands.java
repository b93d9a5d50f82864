package org.cowslipdale.daemon.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.cowslipdale.core.view.CommandSize;
import org.cowslipdale.core.view.ViewCommand;

/**
 * The most recent accepted commands, from which other VMs update their views.
 *
 * <p>At most one of them contains a whole configuration, because a VM that lacks several receives
 * the view instead.
 */
final class RecentCommands {

  private static final int MAX_COMMANDS = 1_000;

  /** The estimated size of the commands, which a command of its own may exceed. */
  static final long MAX_BYTES = 2 << 20;

  private final Deque<ViewCommand> commands = new ArrayDeque<>();
  private long bytes;
  private boolean containsConfiguration;
  private long lastVersion;

  /** Removes all commands; the next command added applies to a view of the given version. */
  void reset(long version) {
    commands.clear();
    bytes = 0;
    containsConfiguration = false;
    lastVersion = version;
  }

  void add(ViewCommand command) {
    boolean configuration = command instanceof ViewCommand.ReplaceConfiguration;
    while (configuration && containsConfiguration) {
      removeOldest();
    }
    commands.add(command);
    bytes += CommandSize.estimatedBytes(command);
    containsConfiguration |= configuration;
    lastVersion++;
    while (commands.size() > MAX_COMMANDS || (bytes > MAX_BYTES && commands.size() > 1)) {
      removeOldest();
    }
  }

  private void removeOldest() {
    ViewCommand removed = commands.remove();
    bytes -= CommandSize.estimatedBytes(removed);
    if (removed instanceof ViewCommand.ReplaceConfiguration) {
      containsConfiguration = false;
    }
  }

  /**
   * Returns the commands after a version, or empty if some of them are not retained; the whole view
   * is to be sent then.
   */
  Optional<List<ViewCommand>> commandsAfter(long version) {
    long missing = lastVersion - version;
    if (missing < 0 || missing > commands.size()) {
      return Optional.empty();
    }
    List<ViewCommand> all = new ArrayList<>(commands);
    return Optional.of(all.subList(all.size() - (int) missing, all.size()));
  }
}
