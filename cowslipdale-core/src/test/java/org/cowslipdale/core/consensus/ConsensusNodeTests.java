package org.cowslipdale.core.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.cowslipdale.core.consensus.ConsensusMessage.AppendReply;
import org.cowslipdale.core.consensus.ConsensusMessage.AppendRequest;
import org.cowslipdale.core.consensus.ConsensusMessage.SnapshotRequest;
import org.cowslipdale.core.consensus.FakeVoters.Member;
import org.cowslipdale.core.control.ControlState;
import org.cowslipdale.core.view.ApiKey;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.DeclaredDocument;
import org.cowslipdale.core.view.ViewCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ConsensusNodeTests {

  private static final long MAX_WAIT_MILLIS = 60_000;

  private int addedKeys;

  @Test
  void electsOneLeaderAndCommits() {
    FakeVoters voters = new FakeVoters(1, "vm1", "vm2", "vm3");

    Member leader = voters.awaitLeader(MAX_WAIT_MILLIS);
    voters.propose(leader, addKey());
    voters.run(1_000);

    for (Member member : voters.running()) {
      assertThat(member.state.history().size(), is(1));
    }
  }

  /**
   * Guards against traffic that grows with the square of the proposals in a round trip: each one
   * must not repeat all entries that no follower has acknowledged yet.
   */
  @Test
  void sendsEachEntryOnceToEachFollower() {
    FakeVoters voters = new FakeVoters(1, "vm1", "vm2", "vm3");
    Member leader = voters.awaitLeader(MAX_WAIT_MILLIS);
    voters.run(1_000);

    int sent = 0;
    for (int i = 0; i < 20; i++) {
      Output output = leader.node.propose(new LogEntry.Command(addKey()), voters.now());
      for (Output.OutboundMessage outbound : output.messages()) {
        if (outbound.message() instanceof AppendRequest request) {
          sent += request.entries().size();
        }
      }
    }

    assertThat(sent, is(40));
  }

  /**
   * Guards against voters that run out of heap beside a follower that lacks many large
   * configurations: the entries of a message are bounded in bytes.
   */
  @Test
  void boundsBytesOfEntriesInMessage() {
    FakeVoters voters = new FakeVoters(1, "vm1", "vm2", "vm3");
    Member leader = voters.awaitLeader(MAX_WAIT_MILLIS);
    voters.run(1_000);
    int configurations = 40;
    String text = "x".repeat(200_000);
    for (int version = 1; version <= configurations; version++) {
      DeclaredDocument document = new DeclaredDocument(version, text);
      leader.node.propose(
          new LogEntry.Command(
              new ViewCommand.ReplaceConfiguration(document, Configuration.EMPTY, List.of())),
          voters.now());
    }

    VoterId follower = followerOf(leader);
    List<AppendRequest> requests = new ArrayList<>();
    AppendReply behind = new AppendReply(leader.node.term(), follower, false, 1, voters.now());
    requests.addAll(requestsTo(follower, leader.node.receive(behind, voters.now())));
    for (int i = 0; i < requests.size(); i++) {
      long received = requests.get(i).previousLogIndex() + requests.get(i).entries().size();
      AppendReply reply =
          new AppendReply(leader.node.term(), follower, true, received, voters.now());
      requests.addAll(requestsTo(follower, leader.node.receive(reply, voters.now())));
    }

    List<LogEntry> sent = requests.stream().flatMap(r -> r.entries().stream()).toList();
    assertThat(sent, is(leader.node.entriesAfterSnapshot().subList(1, 1 + configurations)));
    for (AppendRequest request : requests) {
      long bytes = request.entries().stream().mapToLong(LogEntry::estimatedBytes).sum();
      assertThat(bytes, lessThanOrEqualTo(ConsensusNode.MAX_BYTES_PER_MESSAGE));
    }
  }

  private static VoterId followerOf(Member leader) {
    String name = leader.name.equals("vm1") ? "vm2" : "vm1";
    return new VoterId(name, VoterSet.INITIAL_IDENTITY);
  }

  private static List<AppendRequest> requestsTo(VoterId recipient, Output output) {
    return output.messages().stream()
        .filter(outbound -> outbound.recipient().equals(recipient.name()))
        .map(Output.OutboundMessage::message)
        .filter(AppendRequest.class::isInstance)
        .map(AppendRequest.class::cast)
        .toList();
  }

  @Test
  void isolatedLeaderLosesLeaseBeforeNextElection() {
    FakeVoters voters = new FakeVoters(2, "vm1", "vm2", "vm3");
    Member leader = voters.awaitLeader(MAX_WAIT_MILLIS);

    voters.isolate(leader.name);
    voters.run(ConsensusTimings.LEADER_LEASE_MILLIS + 100);

    assertThat(leader.node.holdsLeaderLease(voters.now()), is(false));
    assertThat(voters.awaitLeader(MAX_WAIT_MILLIS), notNullValue());
  }

  /**
   * A process takes longer to start than a leader lease lasts, so a new leader does not need to
   * wait for the lease of a previous one.
   */
  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33, 34, 35, 36, 37, 38, 39, 40})
  void electsLeaderWithoutWaitingForLeasesAfterFullRestart(long seed) {
    FakeVoters voters = new FakeVoters(seed, "vm1", "vm2", "vm3");
    voters.awaitLeader(MAX_WAIT_MILLIS);
    voters.run(2_000);
    List.of("vm1", "vm2", "vm3").forEach(voters::crash);
    voters.run(2_500);

    List.of("vm1", "vm2", "vm3").forEach(voters::restart);
    long before = voters.now();
    Member leader = voters.awaitLeader(MAX_WAIT_MILLIS);

    assertThat(voters.now() - before, lessThan(ConsensusTimings.ELECTION_TIMEOUT_MIN_MILLIS + 200));
    assertThat(leader.node.previousLeaseEndMillis(), lessThan(before));
  }

  /**
   * Two voters that become candidates at the same time split the votes, which delays the election
   * by a round (incident inc-42fa).
   */
  @ParameterizedTest
  @ValueSource(ints = {3, 4, 5, 6})
  void splitsNoVotesWhenAllVotersStartWithinTenMillis(int count) {
    List<String> names = IntStream.rangeClosed(1, count).mapToObj(i -> "vm" + i).toList();
    long failedRounds = 0;
    long longestMillis = 0;
    for (long seed = 0; seed < 1_000; seed++) {
      FakeVoters voters = new FakeVoters(seed, names.toArray(String[]::new));
      voters.awaitLeader(MAX_WAIT_MILLIS);
      voters.run(500);
      long termBefore = voters.awaitLeader(MAX_WAIT_MILLIS).node.term();
      names.forEach(voters::crash);
      voters.run(2_500);
      long before = voters.now();
      for (String name : names) {
        voters.restart(name);
        voters.run(10 / count);
      }
      Member leader = voters.awaitLeader(MAX_WAIT_MILLIS);
      failedRounds += leader.node.term() - termBefore - 1;
      longestMillis = Math.max(longestMillis, voters.now() - before);
    }
    assertThat("failed rounds", failedRounds, is(0L));
    assertThat(
        "slowest election", longestMillis, lessThan(ConsensusTimings.ELECTION_TIMEOUT_MIN_MILLIS));
  }

  @Test
  void transfersLeadershipWithoutElectionTimeout() {
    FakeVoters voters = new FakeVoters(3, "vm1", "vm2", "vm3");
    Member leader = voters.awaitLeader(MAX_WAIT_MILLIS);
    voters.run(1_000);

    voters.transferLeadership(leader);
    long before = voters.now();
    Member next = voters.awaitLeader(MAX_WAIT_MILLIS);

    assertThat(next.name, not(leader.name));
    assertThat(voters.now() - before < ConsensusTimings.ELECTION_TIMEOUT_MIN_MILLIS, is(true));
  }

  @Test
  void memberWithReplacedDiskDoesNotVote() {
    FakeVoters voters = new FakeVoters(4, "vm1", "vm2", "vm3");
    Member leader = voters.awaitLeader(MAX_WAIT_MILLIS);
    String replaced = leader.name.equals("vm1") ? "vm2" : "vm1";
    voters.crash(replaced);
    voters.crash(leader.name);

    voters.replaceDisk(replaced, "new-identity");

    for (int i = 0; i < 400; i++) {
      voters.run(50);
      for (Member member : voters.running()) {
        assertThat(member.node.role(), is(not(ConsensusNode.Role.LEADER)));
      }
    }
  }

  @Test
  void retainsEntriesWhenLeaderCrashesAfterVoterReplacement() {
    FakeVoters voters = new FakeVoters(5, "vm1", "vm2", "vm3");
    Member leader = voters.awaitLeader(MAX_WAIT_MILLIS);
    String first = leader.name.equals("vm3") ? "vm2" : "vm3";
    for (int i = 0; i < 120; i++) {
      voters.propose(leader, addKey());
      voters.run(20);
    }
    voters.run(1_000);

    voters.replaceDisk(first, "second-identity");
    VoterId replacement = new VoterId(first, "second-identity");
    long limit = voters.now() + MAX_WAIT_MILLIS;
    while (!leader.node.voters().contains(replacement) && voters.now() < limit) {
      voters.run(50);
    }
    voters.run(500);
    voters.crash(leader.name);

    Member next = voters.awaitLeader(MAX_WAIT_MILLIS);
    assertThat(next, notNullValue());
    voters.run(1_000);
    assertThat(next.state.history().size(), is(120));
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26})
  void retainsCommittedEntriesUnderRandomFaults(long seed) {
    Random random = new Random(seed);
    FakeVoters voters = new FakeVoters(seed, "vm1", "vm2", "vm3");
    List<String> names = List.of("vm1", "vm2", "vm3");
    for (int round = 0; round < 150; round++) {
      injectFault(voters, names, random);
      Member leader = voters.awaitLeader(400);
      if (leader != null) {
        voters.propose(leader, addKey());
      }
      voters.run(random.nextInt(300));
    }
    recoverAll(voters, names);

    Member leader = voters.awaitLeader(MAX_WAIT_MILLIS);
    assertThat(leader, notNullValue());
    voters.run(5_000);
    assertThat(voters.committed().size(), greaterThan(20));
    List<Long> applied = new ArrayList<>();
    voters.running().forEach(member -> applied.add(member.lastApplied));
    assertThat(applied, hasItem((long) voters.committed().size()));
    for (Member member : voters.running()) {
      assertThat(member.state, is(leader.state));
    }
  }

  /**
   * The leader counts entries that a follower acknowledged, even if a snapshot that ends before
   * them arrives afterwards. Removing them could lose a committed entry.
   */
  @Test
  void installedSnapshotRetainsAcknowledgedEntries() {
    List<String> names = List.of("vm1", "vm2", "vm3");
    VoterSet voters = VoterSet.initial(names);
    VoterId leader = new VoterId("vm1", VoterSet.INITIAL_IDENTITY);
    ConsensusNode follower =
        new ConsensusNode(
            "vm2",
            Set.copyOf(names),
            new HardState(VoterSet.INITIAL_IDENTITY, 0, null),
            Snapshot.initial(voters),
            List.of(),
            new Random(6),
            0,
            0);
    List<LogEntry> entries = new ArrayList<>();
    for (long index = 1; index <= 5; index++) {
      entries.add(new LogEntry(index, 1, new LogEntry.Noop()));
    }

    Output acknowledgment =
        follower.receive(new AppendRequest(1, leader, 0, 0, entries, 0, 10), 10);
    assertThat(((AppendReply) acknowledgment.messages().getFirst().message()).matchIndex(), is(5L));
    Snapshot snapshot = new Snapshot(3, 1, voters, ControlState.EMPTY);
    follower.receive(new SnapshotRequest(1, leader, snapshot, 20), 20);

    assertThat(follower.lastIndex(), is(5L));
  }

  private static void injectFault(FakeVoters voters, List<String> names, Random random) {
    String name = names.get(random.nextInt(names.size()));
    switch (random.nextInt(8)) {
      case 0 -> voters.crash(name);
      case 1 -> voters.isolate(name);
      case 2 -> voters.healNetwork();
      case 3 -> voters.setLossRate(random.nextDouble() * 0.3);
      default -> {
        for (String other : names) {
          if (!voters.isRunning(other)) {
            voters.restart(other);
          }
        }
      }
    }
  }

  private static void recoverAll(FakeVoters voters, List<String> names) {
    voters.healNetwork();
    voters.setLossRate(0);
    for (String name : names) {
      if (!voters.isRunning(name)) {
        voters.restart(name);
      }
    }
  }

  private ViewCommand addKey() {
    String id = "k" + addedKeys++;
    return new ViewCommand.AddKey("add " + id, 0, new ApiKey(id, "nobody", "00", "00"));
  }
}
