package org.cowslipdale.core.consensus;

/** Durations of the consensus protocol, in milliseconds. */
public final class ConsensusTimings {

  /** How often a leader sends to every follower. */
  public static final long HEARTBEAT_MILLIS = 150;

  /** How long a follower that hears from a leader refuses to vote for another. */
  public static final long ELECTION_MIN_MILLIS = 1_000;

  /** The longest silence after which a follower stands for election. */
  public static final long ELECTION_MAX_MILLIS = 1_800;

  /**
   * How long a leader may act after a quorum has answered, counted from the send time. Shorter than
   * {@link #ELECTION_MIN_MILLIS} by the bound on clock drift.
   */
  public static final long LEADER_LEASE_MILLIS = 900;

  private ConsensusTimings() {}
}
