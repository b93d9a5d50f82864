package org.cowslipdale.core.consensus;

/** Durations of the consensus protocol, in milliseconds. */
public final class ConsensusTimings {

  /** How often a leader sends to every follower. */
  public static final long HEARTBEAT_INTERVAL_MILLIS = 150;

  /**
   * How long a follower that hears from a leader refuses to vote for another: four heartbeats, and
   * ten round trips between regions.
   */
  public static final long ELECTION_TIMEOUT_MIN_MILLIS = 600;

  /** The longest silence after which a follower stands for election. */
  public static final long ELECTION_TIMEOUT_MAX_MILLIS = 1_100;

  /**
   * The shortest wait of a member that has heard from no leader since it started. A living leader
   * is not disturbed, since trial votes fail where it is heard.
   */
  public static final long INITIAL_ELECTION_TIMEOUT_MIN_MILLIS = 50;

  /**
   * How much longer each next voter, by name, waits then, so that voters that start together do not
   * stand together: a round trip between regions and the time to handle it.
   */
  public static final long INITIAL_ELECTION_TIMEOUT_STEP_MILLIS = 80;

  /** The random part of such a wait; voters whose lists differ may have the same place in them. */
  public static final long INITIAL_ELECTION_TIMEOUT_JITTER_MILLIS = 20;

  /**
   * How long a leader may act after a quorum has answered, counted from the send time. Shorter than
   * {@link #ELECTION_TIMEOUT_MIN_MILLIS} by the bound on clock drift.
   */
  public static final long LEADER_LEASE_MILLIS = 540;

  /** How often a member that hears from no leader asks to be taken in. */
  public static final long JOIN_INTERVAL_MILLIS = 300;

  /**
   * How long a voter may be silent before it is removed, if enough others are left. Longer than a
   * restart, shorter than the time after which a replacement must count.
   */
  public static final long UNRESPONSIVE_VOTER_TIMEOUT_MILLIS = 2_500;

  /** How long a member without a vote may be silent before the leader forgets it. */
  public static final long UNRESPONSIVE_NON_VOTER_TIMEOUT_MILLIS = 15_000;

  /** Silent voters are only removed while more than this many remain. */
  public static final int MIN_VOTERS = 3;

  private ConsensusTimings() {}
}
