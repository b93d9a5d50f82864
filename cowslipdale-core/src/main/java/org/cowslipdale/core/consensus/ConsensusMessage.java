package org.cowslipdale.core.consensus;

import java.util.List;

/** A message between the voters of the control log. */
public sealed interface ConsensusMessage {

  /** Returns the sender's term. */
  long term();

  /**
   * Asks for a vote.
   *
   * @param term the term for which the candidate stands
   * @param candidate the candidate
   * @param lastLogIndex the index of the candidate's last entry
   * @param lastLogTerm the term of the candidate's last entry
   * @param preVote whether the candidate only asks if it could win; nothing is promised
   * @param leadershipTransfer whether the leader itself asked the candidate to stand
   */
  record VoteRequest(
      long term, VoterId candidate, long lastLogIndex, long lastLogTerm, boolean preVote, boolean leadershipTransfer)
      implements ConsensusMessage {}

  /**
   * Answers a request for a vote.
   *
   * @param term the voter's term, or the requested one if a trial vote is granted
   * @param voter the voter
   * @param granted whether the vote is given
   * @param preVote whether a trial vote was asked for
   * @param leaderlessMillis for how long the voter has known of no leader, in milliseconds
   */
  record VoteReply(long term, VoterId voter, boolean granted, boolean preVote, long leaderlessMillis)
      implements ConsensusMessage {}

  /**
   * Appends entries, and tells followers that the leader lives.
   *
   * @param term the leader's term
   * @param leader the leader
   * @param previousLogIndex the index of the entry before the first one sent
   * @param previousLogTerm the term of that entry
   * @param entries the entries; may be empty
   * @param commitIndex the leader's commit index
   * @param sentMillis when the leader sent it, on the leader's monotonic clock
   */
  record AppendRequest(
      long term,
      VoterId leader,
      long previousLogIndex,
      long previousLogTerm,
      List<LogEntry> entries,
      long commitIndex,
      long sentMillis)
      implements ConsensusMessage {

    /** Copies the entries. */
    public AppendRequest {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Replaces the state of a follower that is too far behind.
   *
   * @param term the leader's term
   * @param leader the leader
   * @param snapshot the snapshot
   * @param sentMillis when the leader sent it, on the leader's monotonic clock
   */
  record SnapshotRequest(long term, VoterId leader, Snapshot snapshot, long sentMillis)
      implements ConsensusMessage {}

  /**
   * Answers an append or snapshot request.
   *
   * @param term the follower's term
   * @param follower the follower
   * @param success whether the follower's log matches up to {@code matchIndex}
   * @param matchIndex the last matching index, or where the leader should try next
   * @param sentMillis the send time of the request, repeated
   */
  record AppendReply(long term, VoterId follower, boolean success, long matchIndex, long sentMillis)
      implements ConsensusMessage {}

  /**
   * Tells the leader of a member that receives no entries, so that it is taken in.
   *
   * @param term the sender's term
   * @param member the sender
   * @param forwarded whether another member passed it on to the leader that it knows
   */
  record JoinRequest(long term, VoterId member, boolean forwarded) implements ConsensusMessage {}

  /**
   * Asks a follower to stand for election at once, because the leader is about to stop.
   *
   * @param term the leader's term
   * @param leader the leader
   */
  record TransferRequest(long term, VoterId leader) implements ConsensusMessage {}
}
