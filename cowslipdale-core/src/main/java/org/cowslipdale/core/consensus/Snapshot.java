package org.cowslipdale.core.consensus;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.control.ControlState;

/**
 * The state after a prefix of the control log.
 *
 * @param index the index of the last entry of the prefix
 * @param term the term of that entry
 * @param voters the voters after the prefix
 * @param state the control state after the prefix
 */
public record Snapshot(long index, long term, VoterSet voters, ControlState state) {

  /** Checks that the voters and the state are not {@code null}. */
  public Snapshot {
    requireNonNull(voters, "voters");
    requireNonNull(state, "state");
  }

  /**
   * Returns the snapshot of an empty log.
   *
   * @param voters the initial voters
   */
  public static Snapshot initial(VoterSet voters) {
    return new Snapshot(0, 0, voters, ControlState.EMPTY);
  }
}
