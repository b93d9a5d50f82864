package org.cowslipdale.daemon.control;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.daemon.peer.EncodedViewUpdate;
import org.cowslipdale.daemon.peer.ViewUpdate;

/**
 * Encodes updates of the view once for all VMs that need the same one.
 *
 * <p>After a change or a restart of all VMs, the control leader answers every VM with the same
 * update. Encoding it costs far more processor time than the rest of the answer. This class is
 * confined to one thread.
 */
final class ViewUpdates {

  private final RecentCommands commands;
  private final Map<Long, EncodedViewUpdate> encodedByFromVersion = new HashMap<>();
  private long encodedVersion = -1;

  ViewUpdates(RecentCommands commands) {
    this.commands = commands;
  }

  /** Returns the update that brings a view of the given version to the current one. */
  ViewUpdate updateFrom(long version, View current) {
    Optional<List<ViewCommand>> missing = commands.commandsAfter(version);
    return new ViewUpdate(version, missing.orElse(List.of()), missing.isPresent() ? null : current);
  }

  /**
   * Returns the encoded update that brings a view of the given version to the current one.
   *
   * @throws IOException if the update cannot be encoded
   */
  EncodedViewUpdate encodedUpdateFrom(long version, View current) throws IOException {
    if (encodedVersion != current.version()) {
      encodedByFromVersion.clear();
      encodedVersion = current.version();
    }
    EncodedViewUpdate known = encodedByFromVersion.get(version);
    if (known == null) {
      known = EncodedViewUpdate.of(updateFrom(version, current));
      encodedByFromVersion.put(version, known);
    }
    return known;
  }
}
