package org.cowslipdale.core.consensus;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.view.ViewCommand;

/**
 * An entry of the control log.
 *
 * @param index the position in the log, counted from 1
 * @param term the term of the leader that appended it
 * @param payload what it says
 */
public record LogEntry(long index, long term, Payload payload) {

  /** Asserts that the payload is set. */
  public LogEntry {
    requireNonNull(payload, "payload");
  }

  /** What a log entry says. */
  public sealed interface Payload {}

  /** The first entry of a leader's term. */
  public record Noop() implements Payload {}

  /**
   * Changes the view.
   *
   * @param command the command
   */
  public record Command(ViewCommand command) implements Payload {}

  /**
   * Changes the voters; in effect as soon as it is appended.
   *
   * @param voters the voters from this entry on
   */
  public record Voters(VoterSet voters) implements Payload {}
}
