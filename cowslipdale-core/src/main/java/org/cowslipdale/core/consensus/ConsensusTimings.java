package org.cowslipdale.core.consensus;

/** Durations of the consensus protocol, in milliseconds. */
public final class ConsensusTimings {

  /** The interval at which a leader sends a heartbeat to every follower. */
  public static final long HEARTBEAT_INTERVAL_MILLIS = 150;

  /**
   * The minimum election timeout. A follower that heard from the leader within this time rejects
   * vote requests. Allows for four heartbeats, or ten round trips between regions.
   */
  public static final long ELECTION_TIMEOUT_MIN_MILLIS = 600;

  /** The maximum election timeout. */
  public static final long ELECTION_TIMEOUT_MAX_MILLIS = 1_100;

  /**
   * The minimum election timeout of a member that has not heard from a leader since it started.
   * Such a short timeout does not disturb an active leader, because voters that hear from a leader
   * reject pre-votes.
   */
  public static final long INITIAL_ELECTION_TIMEOUT_MIN_MILLIS = 50;

  /**
   * The difference between the initial election timeouts of two voters that are adjacent in the
   * order of their names. Prevents split votes when voters start together: covers a round trip
   * between regions and the time to handle the request.
   */
  public static final long INITIAL_ELECTION_TIMEOUT_STEP_MILLIS = 80;

  /**
   * The random part of the initial election timeout. Separates members that derive the same rank
   * from different voter sets.
   */
  public static final long INITIAL_ELECTION_TIMEOUT_JITTER_MILLIS = 20;

  /**
   * The duration of the leader lease, counted from the send time of the request that a quorum has
   * acknowledged. Shorter than {@link #ELECTION_TIMEOUT_MIN_MILLIS} by the bound on clock drift.
   */
  public static final long LEADER_LEASE_MILLIS = 540;

  /** The interval at which a member without leader contact sends join requests. */
  public static final long JOIN_INTERVAL_MILLIS = 300;

  /**
   * The time after which the leader removes an unresponsive voter, if more than {@link #MIN_VOTERS}
   * voters exist. Longer than a restart, and shorter than the time within which a replacement must
   * become a voter.
   */
  public static final long UNRESPONSIVE_VOTER_TIMEOUT_MILLIS = 2_500;

  /** The time after which the leader stops replicating to an unresponsive non-voting member. */
  public static final long UNRESPONSIVE_NON_VOTER_TIMEOUT_MILLIS = 15_000;

  /** The number of voters at or below which unresponsive voters are not removed. */
  public static final int MIN_VOTERS = 3;

  private ConsensusTimings() {}
}
