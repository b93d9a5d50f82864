package org.cowslipdale.core.consensus;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.view.CommandSize;
import org.cowslipdale.core.view.ViewCommand;

/**
 * An entry of the control log.
 *
 * @param index the position in the log, starting at 1
 * @param term the term of the leader that appended it
 * @param payload the content of the entry
 */
public record LogEntry(long index, long term, Payload payload) {

  /** The size of an entry without a command. */
  private static final long OVERHEAD_BYTES = 100;

  /** Checks that the payload is not {@code null}. */
  public LogEntry {
    requireNonNull(payload, "payload");
  }

  /** Returns an estimate of the size of the entry on the heap, in bytes. */
  public long estimatedBytes() {
    return switch (payload) {
      case Command logged -> OVERHEAD_BYTES + CommandSize.estimatedBytes(logged.command());
      case Noop noop -> OVERHEAD_BYTES;
      case Voters change -> OVERHEAD_BYTES;
    };
  }

  /** The content of a log entry. */
  public sealed interface Payload {}

  /**
   * The empty entry that a leader appends at the start of its term. Once it is committed, so are
   * all entries of earlier terms.
   */
  public record Noop() implements Payload {}

  /**
   * A command that changes the view.
   *
   * @param command the command to apply
   */
  public record Command(ViewCommand command) implements Payload {}

  /**
   * A change of the voters, effective as soon as the entry is appended.
   *
   * @param voters the voters from this entry on
   */
  public record Voters(VoterSet voters) implements Payload {}
}
