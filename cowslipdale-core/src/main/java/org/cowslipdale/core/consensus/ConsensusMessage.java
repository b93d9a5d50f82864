package org.cowslipdale.core.consensus;

import java.util.List;

/** A message between the members that replicate the control log. */
public sealed interface ConsensusMessage {

  /** Returns the sender's term. */
  long term();

  /**
   * Requests a vote or a pre-vote.
   *
   * @param term the term in which the candidate would lead
   * @param candidate the candidate that requests the vote
   * @param lastLogIndex the index of the candidate's last entry
   * @param lastLogTerm the term of the candidate's last entry
   * @param preVote whether this is a pre-vote: the candidate checks whether it could win an
   *     election, and a granted pre-vote does not bind the voter
   * @param leadershipTransfer whether the election is part of a leadership transfer that the leader
   *     started; such a request is valid while followers still hear from the leader
   */
  record VoteRequest(
      long term,
      VoterId candidate,
      long lastLogIndex,
      long lastLogTerm,
      boolean preVote,
      boolean leadershipTransfer)
      implements ConsensusMessage {}

  /**
   * Answers a {@link VoteRequest}.
   *
   * @param term the voter's term, or the requested term if a pre-vote is granted
   * @param voter the voter that answers
   * @param granted whether the vote is granted
   * @param preVote whether a pre-vote was requested
   * @param leaderlessMillis the time since the voter last heard from a leader or was leader itself,
   *     in milliseconds
   */
  record VoteReply(
      long term, VoterId voter, boolean granted, boolean preVote, long leaderlessMillis)
      implements ConsensusMessage {}

  /**
   * Replicates entries to a follower; also serves as the heartbeat.
   *
   * @param term the leader's term
   * @param leader the leader
   * @param previousLogIndex the index of the entry that precedes {@code entries}
   * @param previousLogTerm the term of that entry
   * @param entries the entries to append; empty for a heartbeat
   * @param commitIndex the leader's commit index
   * @param sentMillis the send time in milliseconds of the leader's monotonic clock
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
   * Sends a snapshot to a follower that needs entries which the leader has already compacted.
   *
   * @param term the leader's term
   * @param leader the leader
   * @param snapshot the snapshot to install
   * @param sentMillis the send time in milliseconds of the leader's monotonic clock
   */
  record SnapshotRequest(long term, VoterId leader, Snapshot snapshot, long sentMillis)
      implements ConsensusMessage {}

  /**
   * Answers an {@link AppendRequest} or a {@link SnapshotRequest}.
   *
   * @param term the follower's term
   * @param follower the follower that answers
   * @param success whether the follower's log matches up to {@code matchIndex}
   * @param matchIndex the last matching index; on failure the index that the leader should try as
   *     the preceding one in its next request
   * @param sentMillis the send time copied from the request
   */
  record AppendReply(long term, VoterId follower, boolean success, long matchIndex, long sentMillis)
      implements ConsensusMessage {}

  /**
   * Notifies the leader of a member that receives no entries, so that the leader starts to
   * replicate to it.
   *
   * @param term the term of the member that sent the original request
   * @param member the member to replicate to
   * @param forwarded whether another member forwarded the request to the leader; a forwarded
   *     request is not forwarded again
   */
  record JoinRequest(long term, VoterId member, boolean forwarded) implements ConsensusMessage {}

  /**
   * Requests that a follower start an election immediately, because the leader hands over its
   * leadership. Corresponds to TimeoutNow in the Raft thesis.
   *
   * @param term the leader's term
   * @param leader the leader
   */
  record TransferRequest(long term, VoterId leader) implements ConsensusMessage {}
}
