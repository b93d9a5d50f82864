package org.cowslipdale.core.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What must be done after an input, strictly in this order: store, send, apply.
 *
 * @param hardState the hard state to store, if it changed
 * @param snapshot the snapshot that replaces the stored log, if one was installed
 * @param keepUpTo the index after which stored entries are dropped before {@code appended} is added
 * @param appended the entries to store
 * @param sends the messages to send, once everything above is synced
 * @param committed the entries to apply, once everything above is synced
 */
public record Output(
    @Nullable HardState hardState,
    @Nullable Snapshot snapshot,
    long keepUpTo,
    List<LogEntry> appended,
    List<Send> sends,
    List<LogEntry> committed) {

  /** Copies the lists. */
  public Output {
    appended = List.copyOf(appended);
    sends = List.copyOf(sends);
    committed = List.copyOf(committed);
  }

  /** Returns whether anything must be stored. */
  public boolean needsStorage() {
    return hardState != null || snapshot != null || !appended.isEmpty();
  }

  /**
   * A message to another VM.
   *
   * @param to the name of the VM
   * @param message the message
   */
  public record Send(String to, ConsensusMessage message) {}
}
