package org.cowslipdale.core.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.cowslipdale.core.consensus.LogEntry.Command;
import org.cowslipdale.core.control.ControlState;
import org.cowslipdale.core.view.ViewCommand;
import org.jspecify.annotations.Nullable;

/**
 * Voters on a fake network and fake disks, driven by one random seed; checks safety as they run.
 */
final class FakeVoters {

  private static final long STEP_MILLIS = 5;

  /** How long a process runs before its member takes part. */
  private static final long PROCESS_START_MILLIS = 800;

  private final Random random;
  private final Map<String, Member> members = new TreeMap<>();
  private final PriorityQueue<InFlightMessage> network =
      new PriorityQueue<>(Comparator.comparingLong(InFlightMessage::deliveryMillis));
  private final Set<String> isolated = new HashSet<>();
  private final Map<Long, LogEntry> committed = new HashMap<>();
  private final Map<Long, String> leadersByTerm = new HashMap<>();
  private final Map<String, Long> lastLeaseMillis = new HashMap<>();
  private double lossRate;
  private long now;
  private long nextSequence;

  private record InFlightMessage(long deliveryMillis, long sequence, Output.OutboundMessage outbound, String sender) {}

  /** What a disk holds. */
  static final class Disk {

    HardState hardState;
    Snapshot snapshot;
    List<LogEntry> entries = new ArrayList<>();

    Disk(String identity, VoterSet voters) {
      this.hardState = new HardState(identity, 0, null);
      this.snapshot = Snapshot.initial(voters);
    }

    void store(Output output) {
      if (output.snapshot() != null) {
        snapshot = output.snapshot();
        entries.clear();
      }
      if (!output.appended().isEmpty()) {
        entries.removeIf(entry -> entry.index() > output.retainUpToIndex());
        entries.addAll(output.appended());
      }
      if (output.hardState() != null) {
        hardState = output.hardState();
      }
    }
  }

  /** One voter. */
  static final class Member {

    final String name;
    Set<String> knownMembers;
    Disk disk;
    @Nullable ConsensusNode node;
    ControlState state = ControlState.EMPTY;
    long lastApplied;
    long crashedMillis;

    Member(String name, Set<String> known, Disk disk) {
      this.name = name;
      this.knownMembers = Set.copyOf(known);
      this.disk = disk;
    }
  }

  FakeVoters(long seed, String... names) {
    this.random = new Random(seed);
    for (String name : names) {
      Disk disk = new Disk(VoterSet.INITIAL_IDENTITY, VoterSet.initial(List.of(names)));
      members.put(name, new Member(name, Set.of(names), disk));
    }
    members.values().forEach(this::start);
  }

  void setLossRate(double rate) {
    lossRate = rate;
  }

  void crash(String name) {
    members.get(name).node = null;
    members.get(name).crashedMillis = now;
  }

  void restart(String name) {
    start(members.get(name));
  }

  /** Replaces the disk by an empty one with a new identity. */
  void replaceDisk(String name, String identity) {
    Member member = members.get(name);
    member.disk = new Disk(identity, VoterSet.NONE);
    start(member);
  }

  /** Starts a member that nobody knows and that knows some others. */
  void join(String name, String identity, Set<String> known) {
    Member member = new Member(name, known, new Disk(identity, VoterSet.NONE));
    members.put(name, member);
    start(member);
  }

  void isolate(String name) {
    isolated.add(name);
  }

  void healNetwork() {
    isolated.clear();
  }

  boolean isRunning(String name) {
    return members.get(name).node != null;
  }

  long now() {
    return now;
  }

  Member member(String name) {
    return members.get(name);
  }

  List<Member> running() {
    return members.values().stream().filter(member -> member.node != null).toList();
  }

  /** Returns the entries that any member ever reported as committed, by index. */
  Map<Long, LogEntry> committed() {
    return committed;
  }

  void run(long millis) {
    long end = now + millis;
    while (now < end) {
      now += STEP_MILLIS;
      while (!network.isEmpty() && network.peek().deliveryMillis() <= now) {
        deliver(network.remove());
      }
      for (Member member : running()) {
        execute(member, member.node.tick(now));
      }
      checkLeaders();
    }
  }

  /** Runs until a member leads with a valid leader lease. */
  @Nullable Member awaitLeader(long limitMillis) {
    long end = now + limitMillis;
    while (now < end) {
      run(STEP_MILLIS);
      for (Member member : running()) {
        if (member.node.holdsLeaderLease(now)) {
          return member;
        }
      }
    }
    return null;
  }

  void propose(Member leader, ViewCommand command) {
    execute(leader, leader.node.propose(new Command(command), now));
  }

  void transferLeadership(Member leader) {
    execute(leader, leader.node.transferLeadership(now));
  }

  private void start(Member member) {
    member.state = member.disk.snapshot.state();
    member.lastApplied = member.disk.snapshot.index();
    member.node =
        new ConsensusNode(
            member.name,
            member.knownMembers,
            member.disk.hardState,
            member.disk.snapshot,
            member.disk.entries,
            new Random(random.nextLong()),
            Math.max(member.crashedMillis, now - PROCESS_START_MILLIS),
            now);
  }

  private void deliver(InFlightMessage message) {
    Member receiver = members.get(message.outbound().recipient());
    boolean cut = isolated.contains(message.sender()) || isolated.contains(receiver.name);
    if (receiver.node != null && !cut) {
      execute(receiver, receiver.node.receive(message.outbound().message(), now));
    }
  }

  private void execute(Member member, Output output) {
    member.disk.store(output);
    if (output.snapshot() != null) {
      member.state = output.snapshot().state();
      member.lastApplied = output.snapshot().index();
    }
    for (Output.OutboundMessage send : output.messages()) {
      if (random.nextDouble() >= lossRate) {
        network.add(new InFlightMessage(now + 1 + random.nextInt(40), nextSequence++, send, member.name));
      }
    }
    for (LogEntry entry : output.committed()) {
      apply(member, entry);
    }
  }

  private void apply(Member member, LogEntry entry) {
    LogEntry known = committed.putIfAbsent(entry.index(), entry);
    if (known != null && !known.equals(entry)) {
      throw new AssertionError(
          "two entries committed at " + entry.index() + ": " + known + " and " + entry);
    }
    if (entry.index() != member.lastApplied + 1) {
      throw new AssertionError(member.name + " skipped to " + entry.index());
    }
    member.lastApplied = entry.index();
    if (entry.payload() instanceof Command command) {
      member.state = member.state.apply(command.command()).state();
    }
    if (member.lastApplied % 50 == 0) {
      Snapshot snapshot = member.node.compact(member.state, member.lastApplied);
      member.disk.snapshot = snapshot;
      member.disk.entries = new ArrayList<>(member.node.entriesAfterSnapshot());
    }
  }

  /** The time that a leader holds to be the end of earlier leases must not be too early. */
  private void checkPreviousLeaseEnd(Member leader) {
    String term = leader.name + " " + leader.node.term();
    lastLeaseMillis.put(term, now);
    lastLeaseMillis.forEach(
        (other, seen) -> {
          if (!other.equals(term) && seen > leader.node.previousLeaseEndMillis()) {
            throw new AssertionError(
                "the lease of "
                    + other
                    + " was valid at "
                    + seen
                    + ", later than "
                    + term
                    + " holds: "
                    + leader.node.previousLeaseEndMillis());
          }
        });
  }

  private void checkLeaders() {
    List<String> leased = new ArrayList<>();
    for (Member member : running()) {
      if (member.node.role() == ConsensusNode.Role.LEADER) {
        String other = leadersByTerm.putIfAbsent(member.node.term(), member.name);
        if (other != null && !other.equals(member.name)) {
          throw new AssertionError("two leaders in term " + member.node.term());
        }
      }
      if (member.node.holdsLeaderLease(now)) {
        leased.add(member.name);
        checkPreviousLeaseEnd(member);
      }
    }
    if (leased.size() > 1) {
      throw new AssertionError("two leader leases at once: " + leased);
    }
  }
}
