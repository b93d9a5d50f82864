package org.cowslipdale.core.consensus;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cowslipdale.core.consensus.ConsensusMessage.AppendReply;
import org.cowslipdale.core.consensus.ConsensusMessage.AppendRequest;
import org.cowslipdale.core.consensus.ConsensusMessage.SnapshotRequest;
import org.cowslipdale.core.consensus.ConsensusMessage.TransferRequest;
import org.cowslipdale.core.consensus.ConsensusMessage.VoteReply;
import org.cowslipdale.core.consensus.ConsensusMessage.VoteRequest;
import org.cowslipdale.core.consensus.Output.OutboundMessage;
import org.cowslipdale.core.control.ControlState;
import org.jspecify.annotations.Nullable;

/**
 * A member of the control log. Implements the Raft protocol with pre-votes, leader leases,
 * leadership transfer and the replacement of lost data folders.
 *
 * <p>Inputs are messages, proposals and clock ticks. Every input returns an {@link Output} that the
 * caller must process in order before the next input. This class performs no I/O and is confined to
 * one thread.
 *
 * <p>A member whose data folder was replaced receives the log, but its vote does not count and it
 * does not become a candidate, until the leader has removed its old identity from the voters and
 * added the new one. These are two separate changes, so that the quorums of successive voter sets
 * overlap.
 *
 * @see <a href="https://raft.github.io/raft.pdf">In Search of an Understandable Consensus
 *     Algorithm</a>
 */
public final class ConsensusNode {

  private static final int MAX_ENTRIES_PER_MESSAGE = 200;

  /**
   * The estimated size of the entries in a message, which an entry of its own may exceed. A sender
   * and a receiver hold several copies of a message, encoded and decoded.
   */
  static final long MAX_BYTES_PER_MESSAGE = 2 << 20;

  /**
   * The additional steps that a candidate waits for votes in its initial election: one for the
   * pre-vote and one for the election.
   */
  private static final long CANDIDATE_TIMEOUT_STEPS = 2;

  private final VoterId self;
  private final Set<String> members;
  private final RandomGenerator random;
  private final ControlLog log;
  private long term;
  private @Nullable String votedFor;
  private Role role = Role.FOLLOWER;
  private @Nullable String leader;
  private long commitIndex;
  private long electionDeadlineMillis;
  private long lastLeaderContactMillis;
  private boolean hadLeaderContact;
  private boolean electionDeferred;
  private long leadershipEndMillis = Long.MIN_VALUE / 2;
  private long previousLeaseEndMillis;
  private long votersLeaderlessMillis;
  private long nextHeartbeatMillis;
  private long leaderSinceMillis;
  private long nextJoinRequestMillis;
  private final Set<String> votes = new HashSet<>();
  private final Map<String, Progress> followers = new HashMap<>();

  private boolean hardStateChanged;
  private @Nullable Snapshot installedSnapshot;
  private long retainUpToIndex;
  private final List<LogEntry> appended = new ArrayList<>();
  private final List<OutboundMessage> messages = new ArrayList<>();
  private final List<LogEntry> committed = new ArrayList<>();

  /** The role of a member. */
  public enum Role {
    /** Replicates the log of a leader, or waits for a leader. */
    FOLLOWER,
    /** Requests pre-votes to find out whether it could win an election. */
    PRE_CANDIDATE,
    /** Requests votes for the current term. */
    CANDIDATE,
    /** Was elected in the current term; appends entries and replicates them. */
    LEADER
  }

  /** The replication progress of another member, as known to the leader. */
  private static final class Progress {

    /** The first entry to send next. The entries before it were sent, but may have been lost. */
    private long nextIndex;

    private long matchIndex;

    /** When entries were last sent again; rejections of earlier requests are outdated. */
    private long resentMillis = Long.MIN_VALUE;

    private long acknowledgedSentMillis = Long.MIN_VALUE;
    private long lastContactMillis;
    private @Nullable String identity;

    Progress(long nextIndex, long now) {
      this.nextIndex = nextIndex;
      this.lastContactMillis = now;
    }
  }

  /**
   * Creates a follower from its stored state.
   *
   * @param self the name of this VM
   * @param members the names of the VMs that are configured to replicate the control log
   * @param hardState the stored hard state
   * @param snapshot the stored snapshot
   * @param entries the stored entries after the snapshot
   * @param random the source of randomness for election timeouts
   * @param startedMillis the start time of this process in milliseconds of the VM's monotonic
   *     clock; a previous process of this member did not hear from a leader after this time
   * @param now the current time in milliseconds of the VM's monotonic clock
   */
  public ConsensusNode(
      String self,
      Set<String> members,
      HardState hardState,
      Snapshot snapshot,
      List<LogEntry> entries,
      RandomGenerator random,
      long startedMillis,
      long now) {
    this.self = new VoterId(self, hardState.identity());
    this.members = Set.copyOf(members);
    this.random = requireNonNull(random, "random");
    this.log = new ControlLog(snapshot, entries);
    this.term = hardState.term();
    this.votedFor = hardState.votedFor();
    this.commitIndex = snapshot.index();
    this.lastLeaderContactMillis = startedMillis;
    resetElectionDeadline(now);
  }

  /** Returns the VM name of this member and the identity of its data folder. */
  public VoterId self() {
    return self;
  }

  /** Returns the current role. */
  public Role role() {
    return role;
  }

  /** Returns the current term. */
  public long term() {
    return term;
  }

  /** Returns the VM name of the current leader, if known. */
  public Optional<String> leader() {
    return Optional.ofNullable(leader);
  }

  /** Returns the index of the last entry that this member knows to be committed. */
  public long commitIndex() {
    return commitIndex;
  }

  /** Returns the index of the last entry in the log, committed or not. */
  public long lastIndex() {
    return log.lastIndex();
  }

  /** Returns the latest voters in the log, whether or not their entry is committed. */
  public VoterSet voters() {
    return log.voters();
  }

  /**
   * Returns when this member became leader, in milliseconds of the VM's monotonic clock; valid only
   * while it is leader.
   */
  public long leaderSinceMillis() {
    return leaderSinceMillis;
  }

  /**
   * Returns the latest time at which a previous leader could hold its leader lease, in milliseconds
   * of the VM's monotonic clock; valid only while this member is leader.
   */
  public long previousLeaseEndMillis() {
    return previousLeaseEndMillis;
  }

  /**
   * Returns whether this member is leader and no other member can be leader at the current time.
   *
   * @param now the current time in milliseconds of the VM's monotonic clock
   */
  public boolean holdsLeaderLease(long now) {
    boolean ownTermCommitted = role == Role.LEADER && log.termAt(commitIndex) == term;
    return ownTermCommitted && now < leaderLeaseEndMillis(now);
  }

  /**
   * Returns the time until which a leader that holds the leader lease now holds it at least.
   *
   * @param now the current time in milliseconds of the VM's monotonic clock
   */
  public long leaderLeaseEndMillis(long now) {
    return quorumAcknowledgedMillis(now) + ConsensusTimings.LEADER_LEASE_MILLIS;
  }

  /**
   * Handles the passing of time: sends heartbeats as leader, starts elections and sends join
   * requests otherwise.
   *
   * @param now the current time in milliseconds of the VM's monotonic clock
   */
  public Output tick(long now) {
    if (role == Role.LEADER) {
      tickLeader(now);
    } else {
      if (now >= nextJoinRequestMillis && hasNoLeaderContact(now)) {
        sendJoinRequests(now);
      }
      if (now >= electionDeadlineMillis) {
        startPreVote(now);
      }
    }
    return takeOutput();
  }

  /**
   * Appends an entry as leader and replicates it; ignored unless this member is leader.
   *
   * @param payload the content of the entry
   * @param now the current time in milliseconds of the VM's monotonic clock
   */
  public Output propose(LogEntry.Payload payload, long now) {
    if (role == Role.LEADER) {
      appendAsLeader(payload);
      sendToAll(now);
      advanceCommit(now);
    }
    return takeOutput();
  }

  /**
   * Handles a message from another member.
   *
   * @param message the received message
   * @param now the current time in milliseconds of the VM's monotonic clock
   */
  public Output receive(ConsensusMessage message, long now) {
    switch (message) {
      case VoteRequest request -> onVoteRequest(request, now);
      case VoteReply reply -> onVoteReply(reply, now);
      case AppendRequest request -> onAppendRequest(request, now);
      case SnapshotRequest request -> onSnapshotRequest(request, now);
      case AppendReply reply -> onAppendReply(reply, now);
      case TransferRequest request -> onTransferRequest(request, now);
      case ConsensusMessage.JoinRequest request -> onJoinRequest(request, now);
    }
    return takeOutput();
  }

  /**
   * Steps down as leader and requests the voter with the highest match index to start an election
   * immediately; ignored unless this member is leader.
   *
   * @param now the current time in milliseconds of the VM's monotonic clock
   */
  public Output transferLeadership(long now) {
    if (role == Role.LEADER) {
      Optional<String> successor = mostUpToDateVoter();
      becomeFollower(term, null, now);
      successor.ifPresent(
          name -> messages.add(new OutboundMessage(name, new TransferRequest(term, self))));
    }
    return takeOutput();
  }

  /**
   * Replaces the entries up to an index by a snapshot of the applied state.
   *
   * @param state the control state after the entry at {@code index}
   * @param index the index of the last entry to replace; it must be applied
   * @return the snapshot to store
   */
  public Snapshot compact(ControlState state, long index) {
    Snapshot snapshot = new Snapshot(index, log.termAt(index), log.votersAt(index), state);
    log.compact(snapshot);
    return snapshot;
  }

  /** Returns the entries after the snapshot. */
  public List<LogEntry> entriesAfterSnapshot() {
    return log.range(log.snapshot().index() + 1, log.lastIndex());
  }

  private void tickLeader(long now) {
    long unacknowledgedMillis = now - quorumAcknowledgedMillis(now);
    if (unacknowledgedMillis > 2 * ConsensusTimings.ELECTION_TIMEOUT_MIN_MILLIS
        && now - leaderSinceMillis > 2 * ConsensusTimings.ELECTION_TIMEOUT_MIN_MILLIS) {
      becomeFollower(term, null, now);
      return;
    }
    if (now >= nextHeartbeatMillis) {
      removeUnresponsiveNonVoters(now);
      replaceLostIdentity();
      removeUnresponsiveVoter(now);
      sendToAll(now);
      advanceCommit(now);
    }
  }

  private void startPreVote(long now) {
    if (!log.voters().contains(self)) {
      resetElectionDeadline(now);
      return;
    }
    role = Role.PRE_CANDIDATE;
    resetElectionDeadline(now);
    leader = null;
    electionDeferred = false;
    voteForSelf(now);
    requestVotes(term + 1, true, false);
    countVotes(now);
  }

  private void startElection(boolean leadershipTransfer, long now) {
    role = Role.CANDIDATE;
    setTerm(term + 1, self.name());
    resetElectionDeadline(now);
    voteForSelf(now);
    requestVotes(term, false, leadershipTransfer);
    countVotes(now);
  }

  private void voteForSelf(long now) {
    votes.clear();
    votes.add(self.name());
    votersLeaderlessMillis = leaderlessMillis(now);
  }

  /** Returns the time since this member last heard from a leader or was leader itself. */
  private long leaderlessMillis(long now) {
    return now - Math.max(lastLeaderContactMillis, leadershipEndMillis);
  }

  private void requestVotes(long forTerm, boolean preVote, boolean leadershipTransfer) {
    VoteRequest request =
        new VoteRequest(
            forTerm, self, log.lastIndex(), log.lastTerm(), preVote, leadershipTransfer);
    for (String name : log.voters().names()) {
      if (!name.equals(self.name())) {
        messages.add(new OutboundMessage(name, request));
      }
    }
  }

  private void onTransferRequest(TransferRequest request, long now) {
    boolean fromLeader = request.term() == term && request.leader().name().equals(leader);
    if (fromLeader && log.voters().contains(self)) {
      startElection(true, now);
    }
  }

  private Optional<String> mostUpToDateVoter() {
    String best = null;
    long bestMatch = -1;
    for (Map.Entry<String, String> voter : log.voters().identities().entrySet()) {
      long match = matchIndex(voter.getKey(), voter.getValue());
      if (!voter.getKey().equals(self.name()) && match > bestMatch) {
        best = voter.getKey();
        bestMatch = match;
      }
    }
    return Optional.ofNullable(best);
  }

  private void onVoteRequest(VoteRequest request, long now) {
    boolean leaderActive =
        role == Role.LEADER
            || now < lastLeaderContactMillis + ConsensusTimings.ELECTION_TIMEOUT_MIN_MILLIS;
    boolean upToDate =
        request.lastLogTerm() > log.lastTerm()
            || (request.lastLogTerm() == log.lastTerm()
                && request.lastLogIndex() >= log.lastIndex());
    if (request.preVote()) {
      boolean granted = request.term() > term && upToDate && !leaderActive;
      if (granted) {
        deferElection(now);
      }
      replyToVoteRequest(request, granted ? request.term() : term, granted, now);
      return;
    }
    if (leaderActive && !request.leadershipTransfer() && request.term() > term) {
      replyToVoteRequest(request, term, false, now);
      return;
    }
    if (request.term() > term) {
      becomeFollower(request.term(), null, now);
    }
    boolean canVote = votedFor == null || votedFor.equals(request.candidate().name());
    boolean granted = request.term() == term && canVote && upToDate && role == Role.FOLLOWER;
    if (granted) {
      setTerm(term, request.candidate().name());
      resetElectionDeadline(now);
    }
    replyToVoteRequest(request, term, granted, now);
  }

  private void replyToVoteRequest(VoteRequest request, long replyTerm, boolean granted, long now) {
    VoteReply reply =
        new VoteReply(replyTerm, self, granted, request.preVote(), leaderlessMillis(now));
    messages.add(new OutboundMessage(request.candidate().name(), reply));
  }

  private void onVoteReply(VoteReply reply, long now) {
    boolean rejectedByNewerTerm = !reply.granted() && reply.term() > term;
    if (rejectedByNewerTerm) {
      becomeFollower(reply.term(), null, now);
      return;
    }
    Role expected = reply.preVote() ? Role.PRE_CANDIDATE : Role.CANDIDATE;
    long expectedTerm = reply.preVote() ? term + 1 : term;
    boolean valid =
        reply.granted()
            && role == expected
            && reply.term() == expectedTerm
            && log.voters().contains(reply.voter());
    if (valid) {
      votes.add(reply.voter().name());
      votersLeaderlessMillis = Math.min(votersLeaderlessMillis, reply.leaderlessMillis());
      countVotes(now);
    }
  }

  private void countVotes(long now) {
    if (votes.size() < log.voters().quorum()) {
      return;
    }
    if (role == Role.PRE_CANDIDATE) {
      startElection(false, now);
    } else if (role == Role.CANDIDATE) {
      becomeLeader(now);
    }
  }

  private void becomeLeader(long now) {
    role = Role.LEADER;
    leader = self.name();
    leaderSinceMillis = now;
    previousLeaseEndMillis =
        now - Math.max(0, votersLeaderlessMillis - ConsensusTimings.LEADER_LEASE_MILLIS);
    followers.clear();
    otherMembers().forEach(name -> followers.put(name, new Progress(log.lastIndex() + 1, now)));
    appendAsLeader(new LogEntry.Noop());
    sendToAll(now);
    advanceCommit(now);
  }

  private void becomeFollower(long newTerm, @Nullable String newLeader, long now) {
    if (newTerm > term) {
      setTerm(newTerm, null);
    }
    if (role == Role.LEADER) {
      leadershipEndMillis = now;
    }
    role = Role.FOLLOWER;
    leader = newLeader;
    votes.clear();
    followers.clear();
    resetElectionDeadline(now);
  }

  private void onAppendRequest(AppendRequest request, long now) {
    if (request.term() < term) {
      messages.add(
          new OutboundMessage(request.leader().name(), rejection(0, request.sentMillis())));
      return;
    }
    followLeader(request.term(), request.leader().name(), now);
    if (request.previousLogIndex() < log.snapshot().index()) {
      sendAppendReply(request.leader().name(), true, commitIndex, request.sentMillis());
      return;
    }
    boolean matches =
        log.hasTermAt(request.previousLogIndex())
            && log.termAt(request.previousLogIndex()) == request.previousLogTerm();
    if (!matches) {
      long nextMatch =
          Math.min(log.lastIndex(), Math.max(commitIndex, request.previousLogIndex() - 1));
      messages.add(
          new OutboundMessage(request.leader().name(), rejection(nextMatch, request.sentMillis())));
      return;
    }
    appendAsFollower(request.entries());
    long match = request.previousLogIndex() + request.entries().size();
    commitUpTo(Math.min(request.commitIndex(), match));
    sendAppendReply(request.leader().name(), true, match, request.sentMillis());
  }

  private void onSnapshotRequest(SnapshotRequest request, long now) {
    if (request.term() < term) {
      messages.add(
          new OutboundMessage(request.leader().name(), rejection(0, request.sentMillis())));
      return;
    }
    followLeader(request.term(), request.leader().name(), now);
    Snapshot snapshot = request.snapshot();
    if (snapshot.index() > commitIndex) {
      installSnapshot(snapshot);
    }
    sendAppendReply(request.leader().name(), true, commitIndex, request.sentMillis());
  }

  /**
   * Installs a snapshot. Retains the entries after it if the log matches the snapshot, because the
   * leader may have counted this member's acknowledgment of them.
   */
  private void installSnapshot(Snapshot snapshot) {
    boolean matches =
        log.hasTermAt(snapshot.index()) && log.termAt(snapshot.index()) == snapshot.term();
    List<LogEntry> retained =
        matches ? log.range(snapshot.index() + 1, log.lastIndex()) : List.of();
    log.reset(snapshot);
    commitIndex = snapshot.index();
    installedSnapshot = snapshot;
    retainUpToIndex = snapshot.index();
    appended.clear();
    for (LogEntry entry : retained) {
      log.append(entry);
      appended.add(entry);
    }
  }

  private void followLeader(long newTerm, String newLeader, long now) {
    becomeFollower(newTerm, newLeader, now);
    lastLeaderContactMillis = now;
    hadLeaderContact = true;
  }

  private AppendReply rejection(long matchIndex, long sentMillis) {
    return new AppendReply(term, self, false, matchIndex, sentMillis);
  }

  private void sendAppendReply(
      String leaderName, boolean success, long matchIndex, long sentMillis) {
    messages.add(
        new OutboundMessage(
            leaderName, new AppendReply(term, self, success, matchIndex, sentMillis)));
  }

  private void appendAsFollower(List<LogEntry> entries) {
    for (LogEntry entry : entries) {
      boolean alreadyInLog =
          log.hasTermAt(entry.index()) && log.termAt(entry.index()) == entry.term();
      if (alreadyInLog) {
        continue;
      }
      if (entry.index() <= log.lastIndex()) {
        log.truncateAfter(entry.index() - 1);
        appended.removeIf(other -> other.index() >= entry.index());
      }
      append(entry);
    }
  }

  private void appendAsLeader(LogEntry.Payload payload) {
    append(new LogEntry(log.lastIndex() + 1, term, payload));
  }

  private void append(LogEntry entry) {
    if (appended.isEmpty()) {
      retainUpToIndex = entry.index() - 1;
    }
    log.append(entry);
    appended.add(entry);
  }

  private void onAppendReply(AppendReply reply, long now) {
    if (reply.term() > term) {
      becomeFollower(reply.term(), null, now);
      return;
    }
    Progress progress = followers.get(reply.follower().name());
    if (role != Role.LEADER || reply.term() != term || progress == null) {
      return;
    }
    progress.lastContactMillis = now;
    progress.acknowledgedSentMillis = Math.max(progress.acknowledgedSentMillis, reply.sentMillis());
    if (!reply.follower().identity().equals(progress.identity)) {
      progress.identity = reply.follower().identity();
      progress.matchIndex = 0;
    }
    if (reply.success()) {
      progress.matchIndex = Math.max(progress.matchIndex, reply.matchIndex());
      progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
      advanceCommit(now);
      if (progress.nextIndex <= log.lastIndex()) {
        sendTo(reply.follower().name(), progress, now);
      }
    } else if (reply.sentMillis() >= progress.resentMillis) {
      progress.nextIndex = Math.max(1, Math.min(progress.nextIndex - 1, reply.matchIndex() + 1));
      progress.resentMillis = now;
      sendTo(reply.follower().name(), progress, now);
    }
  }

  private void sendToAll(long now) {
    nextHeartbeatMillis = now + ConsensusTimings.HEARTBEAT_INTERVAL_MILLIS;
    followers.forEach((name, progress) -> sendTo(name, progress, now));
  }

  /**
   * Sends the next entries without waiting for earlier ones to be acknowledged. If some were lost,
   * the follower rejects this or the next request, and they are sent again.
   */
  private void sendTo(String name, Progress progress, long now) {
    long previous = progress.nextIndex - 1;
    if (previous < log.snapshot().index()) {
      messages.add(new OutboundMessage(name, new SnapshotRequest(term, self, log.snapshot(), now)));
      progress.nextIndex = log.snapshot().index() + 1;
      return;
    }
    List<LogEntry> entries = nextEntries(previous);
    long last = previous + entries.size();
    AppendRequest request =
        new AppendRequest(term, self, previous, log.termAt(previous), entries, commitIndex, now);
    messages.add(new OutboundMessage(name, request));
    progress.nextIndex = last + 1;
  }

  /** Returns the entries after an index that fit one message, at least one if there is any. */
  private List<LogEntry> nextEntries(long previous) {
    long limit = Math.min(log.lastIndex(), previous + MAX_ENTRIES_PER_MESSAGE);
    long bytes = 0;
    long last = previous;
    while (last < limit) {
      bytes += log.entryAt(last + 1).estimatedBytes();
      if (bytes > MAX_BYTES_PER_MESSAGE && last > previous) {
        break;
      }
      last++;
    }
    return log.range(previous + 1, last);
  }

  /**
   * Returns the latest send time such that a quorum of the voters, this member included, has
   * answered a request sent at or after it.
   */
  private long quorumAcknowledgedMillis(long now) {
    VoterSet voters = log.voters();
    List<Long> acknowledged = new ArrayList<>();
    for (Map.Entry<String, String> voter : voters.identities().entrySet()) {
      acknowledged.add(acknowledgedMillis(voter.getKey(), voter.getValue(), now));
    }
    acknowledged.sort(null);
    return acknowledged.isEmpty()
        ? Long.MIN_VALUE / 2
        : acknowledged.get(acknowledged.size() - voters.quorum());
  }

  private long acknowledgedMillis(String name, String identity, long now) {
    if (name.equals(self.name())) {
      return now;
    }
    Progress progress = followers.get(name);
    boolean known = progress != null && identity.equals(progress.identity);
    return known ? progress.acknowledgedSentMillis : Long.MIN_VALUE / 2;
  }

  private void advanceCommit(long now) {
    if (role != Role.LEADER) {
      return;
    }
    VoterSet voters = log.voters();
    List<Long> matches = new ArrayList<>();
    for (Map.Entry<String, String> voter : voters.identities().entrySet()) {
      matches.add(matchIndex(voter.getKey(), voter.getValue()));
    }
    matches.sort(null);
    long quorumMatch = matches.get(matches.size() - voters.quorum());
    if (quorumMatch > commitIndex && log.termAt(quorumMatch) == term) {
      commitUpTo(quorumMatch);
      sendToAll(now);
    }
  }

  private long matchIndex(String name, String identity) {
    if (name.equals(self.name())) {
      return identity.equals(self.identity()) ? log.lastIndex() : 0;
    }
    Progress progress = followers.get(name);
    boolean known = progress != null && identity.equals(progress.identity);
    return known ? progress.matchIndex : 0;
  }

  private void commitUpTo(long index) {
    while (commitIndex < index) {
      commitIndex++;
      committed.add(log.entryAt(commitIndex));
    }
  }

  /**
   * Makes the next voter change for a member that caught up under an identity that is not a voter:
   * removes the old identity of the member if there is one, otherwise adds the new identity.
   */
  private void replaceLostIdentity() {
    if (isVoterChangePending()) {
      return;
    }
    for (Map.Entry<String, Progress> entry : followers.entrySet()) {
      String identity = entry.getValue().identity;
      boolean caughtUp = entry.getValue().matchIndex >= commitIndex;
      if (identity == null || !caughtUp) {
        continue;
      }
      VoterId voter = new VoterId(entry.getKey(), identity);
      if (log.voters().contains(voter)) {
        continue;
      }
      boolean hasOldIdentity = log.voters().names().contains(entry.getKey());
      VoterSet next =
          hasOldIdentity ? log.voters().without(entry.getKey()) : log.voters().with(voter);
      appendAsLeader(new LogEntry.Voters(next));
      return;
    }
  }

  /**
   * Removes one unresponsive voter, if there are more than {@link ConsensusTimings#MIN_VOTERS}
   * voters.
   */
  private void removeUnresponsiveVoter(long now) {
    if (isVoterChangePending() || log.voters().identities().size() <= ConsensusTimings.MIN_VOTERS) {
      return;
    }
    for (String name : log.voters().names()) {
      Progress progress = followers.get(name);
      boolean unresponsive =
          !name.equals(self.name())
              && (progress == null
                  || now - progress.lastContactMillis
                      >= ConsensusTimings.UNRESPONSIVE_VOTER_TIMEOUT_MILLIS);
      if (unresponsive) {
        appendAsLeader(new LogEntry.Voters(log.voters().without(name)));
        return;
      }
    }
  }

  private void removeUnresponsiveNonVoters(long now) {
    followers
        .entrySet()
        .removeIf(
            entry ->
                !log.voters().names().contains(entry.getKey())
                    && now - entry.getValue().lastContactMillis
                        >= ConsensusTimings.UNRESPONSIVE_NON_VOTER_TIMEOUT_MILLIS);
  }

  private void onJoinRequest(ConsensusMessage.JoinRequest request, long now) {
    if (request.member().name().equals(self.name())) {
      return;
    }
    if (role != Role.LEADER) {
      if (leader != null && !leader.equals(request.member().name()) && !request.forwarded()) {
        messages.add(
            new OutboundMessage(
                leader, new ConsensusMessage.JoinRequest(request.term(), request.member(), true)));
      }
      return;
    }
    Progress progress =
        followers.computeIfAbsent(
            request.member().name(), name -> new Progress(log.lastIndex() + 1, now));
    progress.lastContactMillis = now;
    sendTo(request.member().name(), progress, now);
  }

  /**
   * Returns whether the latest voter change is uncommitted or no entry of the current term is
   * committed yet. Allowing one change at a time ensures that the quorums of successive voter sets
   * overlap.
   */
  private boolean isVoterChangePending() {
    return log.lastVoterChangeIndex() > commitIndex || log.termAt(commitIndex) != term;
  }

  private Set<String> otherMembers() {
    Set<String> names = new HashSet<>(members);
    names.addAll(log.voters().names());
    names.remove(self.name());
    return names;
  }

  /** Returns whether no leader replicates to this member, as far as it knows. */
  private boolean hasNoLeaderContact(long now) {
    boolean timedOut =
        now >= lastLeaderContactMillis + ConsensusTimings.ELECTION_TIMEOUT_MIN_MILLIS;
    boolean nonVoterWithoutLeader = leader == null && !log.voters().contains(self);
    return timedOut || nonVoterWithoutLeader;
  }

  /** Requests from all known members that the leader replicate to this member. */
  private void sendJoinRequests(long now) {
    nextJoinRequestMillis = now + ConsensusTimings.JOIN_INTERVAL_MILLIS;
    ConsensusMessage.JoinRequest request = new ConsensusMessage.JoinRequest(term, self, false);
    otherMembers().forEach(name -> messages.add(new OutboundMessage(name, request)));
  }

  private void setTerm(long newTerm, @Nullable String newVotedFor) {
    boolean changed = newTerm != term || !Objects.equals(newVotedFor, votedFor);
    term = newTerm;
    votedFor = newVotedFor;
    hardStateChanged |= changed;
  }

  private void resetElectionDeadline(long now) {
    electionDeadlineMillis = now + electionTimeoutMillis();
  }

  private long electionTimeoutMillis() {
    if (hadLeaderContact) {
      return ConsensusTimings.ELECTION_TIMEOUT_MIN_MILLIS
          + random.nextLong(
              ConsensusTimings.ELECTION_TIMEOUT_MAX_MILLIS
                  - ConsensusTimings.ELECTION_TIMEOUT_MIN_MILLIS);
    }
    long rank = log.voters().names().stream().filter(n -> n.compareTo(self.name()) < 0).count();
    if (role != Role.FOLLOWER) {
      rank += CANDIDATE_TIMEOUT_STEPS;
    }
    return ConsensusTimings.INITIAL_ELECTION_TIMEOUT_MIN_MILLIS
        + rank * ConsensusTimings.INITIAL_ELECTION_TIMEOUT_STEP_MILLIS
        + random.nextLong(ConsensusTimings.INITIAL_ELECTION_TIMEOUT_JITTER_MILLIS);
  }

  /**
   * Restarts the election timeout after granting a pre-vote in the initial election, so that the
   * candidate has time to win it. Does so only once until this member starts a pre-vote itself,
   * because the candidate may be unable to receive votes.
   */
  private void deferElection(long now) {
    if (!hadLeaderContact && !electionDeferred) {
      electionDeferred = true;
      resetElectionDeadline(now);
    }
  }

  private Output takeOutput() {
    Output output =
        new Output(
            hardStateChanged ? new HardState(self.identity(), term, votedFor) : null,
            installedSnapshot,
            retainUpToIndex,
            appended,
            messages,
            committed);
    hardStateChanged = false;
    installedSnapshot = null;
    appended.clear();
    messages.clear();
    committed.clear();
    return output;
  }
}
