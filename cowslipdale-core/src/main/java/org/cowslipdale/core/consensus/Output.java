package org.cowslipdale.core.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What must be done after an input, strictly in this order: store, send, apply.
 *
 * @param hardState the hard state to store, if it changed
 * @param snapshot the snapshot that replaces the stored log, if one was installed
 * @param retainUpToIndex the index after which stored entries are dropped before {@code appended} is added
 * @param appended the entries to store
 * @param messages the messages to send, once everything above is synced
 * @param committed the entries to apply, once everything above is synced
 */
public record Output(
    @Nullable HardState hardState,
    @Nullable Snapshot snapshot,
    long retainUpToIndex,
    List<LogEntry> appended,
    List<OutboundMessage> messages,
    List<LogEntry> committed) {

  /** Copies the lists. */
  public Output {
    appended = List.copyOf(appended);
    messages = List.copyOf(messages);
    committed = List.copyOf(committed);
  }

  /** Returns whether anything must be stored. */
  public boolean needsStorage() {
    return hardState != null || snapshot != null || !appended.isEmpty();
  }

  /**
   * A message to another VM.
   *
   * @param recipient the name of the VM
   * @param message the message
   */
  public record OutboundMessage(String recipient, ConsensusMessage message) {}
}
