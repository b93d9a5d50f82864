package org.cowslipdale.core.consensus;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The actions that the caller of {@link ConsensusNode} must perform after an input, strictly in
 * this order: store, send, apply.
 *
 * @param hardState the hard state to store, if it changed
 * @param snapshot the snapshot that replaces the stored snapshot and log, if one was installed
 * @param retainUpToIndex the index up to which stored entries are retained; later ones are removed
 *     before {@code appended} is added
 * @param appended the entries to add to the stored log
 * @param messages the messages to send once everything above is synced to disk
 * @param committed the entries to apply once everything above is synced to disk
 */
public record Output(
    @Nullable HardState hardState,
    @Nullable Snapshot snapshot,
    long retainUpToIndex,
    List<LogEntry> appended,
    List<OutboundMessage> messages,
    List<LogEntry> committed) {

  /** Creates immutable copies of the lists. */
  public Output {
    appended = List.copyOf(appended);
    messages = List.copyOf(messages);
    committed = List.copyOf(committed);
  }

  /** Returns whether this output contains anything to store. */
  public boolean needsStorage() {
    return hardState != null || snapshot != null || !appended.isEmpty();
  }

  /**
   * A message to another member.
   *
   * @param recipient the VM name of the recipient
   * @param message the message to send
   */
  public record OutboundMessage(String recipient, ConsensusMessage message) {}
}
