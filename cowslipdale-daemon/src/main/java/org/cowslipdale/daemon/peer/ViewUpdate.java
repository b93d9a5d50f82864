package org.cowslipdale.daemon.peer;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.jspecify.annotations.Nullable;

/**
 * What a VM needs to bring its view up to date.
 *
 * @param fromVersion the version of the view to which {@code commands} apply
 * @param commands the commands accepted after that version
 * @param view the whole view, to be used instead of the commands; null if the commands suffice
 */
public record ViewUpdate(long fromVersion, List<ViewCommand> commands, @Nullable View view) {

  /** Checks that the commands are set. */
  public ViewUpdate {
    requireNonNull(commands, "commands");
  }

  /** Returns the version of the view after the update. */
  public long targetVersion() {
    return view != null ? view.version() : fromVersion + commands.size();
  }
}
