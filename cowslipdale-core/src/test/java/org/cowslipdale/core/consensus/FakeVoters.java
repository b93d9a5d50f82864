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
  private final PriorityQueue<InFlight> network =
      new PriorityQueue<>(Comparator.comparingLong(InFlight::atMillis));
  private final Set<String> isolated = new HashSet<>();
  private final Map<Long, LogEntry> committed = new HashMap<>();
  private final Map<Long, String> leaders = new HashMap<>();
  private final Map<String, Long> leaseSeen = new HashMap<>();
  private double lossRate;
  private long now;
  private long order;

  private record InFlight(long atMillis, long order, Output.Send send, String from) {}

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
        entries.removeIf(entry -> entry.index() > output.keepUpTo());
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
    Set<String> known;
    Disk disk;
    @Nullable ConsensusNode node;
    ControlState state = ControlState.EMPTY;
    long applied;
    long crashedMillis;

    Member(String name, Set<String> known, Disk disk) {
      this.name = name;
      this.known = Set.copyOf(known);
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
  void loseDisk(String name, String identity) {
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

  void heal() {
    isolated.clear();
  }

  boolean isUp(String name) {
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
      while (!network.isEmpty() && network.peek().atMillis() <= now) {
        deliver(network.remove());
      }
      for (Member member : running()) {
        carryOut(member, member.node.tick(now));
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
    carryOut(leader, leader.node.propose(new Command(command), now));
  }

  void carryOutTransfer(Member leader) {
    carryOut(leader, leader.node.transferLeadership(now));
  }

  private void start(Member member) {
    member.state = member.disk.snapshot.state();
    member.applied = member.disk.snapshot.index();
    member.node =
        new ConsensusNode(
            member.name,
            member.known,
            member.disk.hardState,
            member.disk.snapshot,
            member.disk.entries,
            new Random(random.nextLong()),
            Math.max(member.crashedMillis, now - PROCESS_START_MILLIS),
            now);
  }

  private void deliver(InFlight message) {
    Member receiver = members.get(message.send().to());
    boolean cut = isolated.contains(message.from()) || isolated.contains(receiver.name);
    if (receiver.node != null && !cut) {
      carryOut(receiver, receiver.node.receive(message.send().message(), now));
    }
  }

  private void carryOut(Member member, Output output) {
    member.disk.store(output);
    if (output.snapshot() != null) {
      member.state = output.snapshot().state();
      member.applied = output.snapshot().index();
    }
    for (Output.Send send : output.sends()) {
      if (random.nextDouble() >= lossRate) {
        network.add(new InFlight(now + 1 + random.nextInt(40), order++, send, member.name));
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
    if (entry.index() != member.applied + 1) {
      throw new AssertionError(member.name + " skipped to " + entry.index());
    }
    member.applied = entry.index();
    if (entry.payload() instanceof Command command) {
      member.state = member.state.apply(command.command()).state();
    }
    if (member.applied % 50 == 0) {
      Snapshot snapshot = member.node.compact(member.state, member.applied);
      member.disk.snapshot = snapshot;
      member.disk.entries = new ArrayList<>(member.node.entriesAfterSnapshot());
    }
  }

  /** The time that a leader holds to be the end of earlier leases must not be too early. */
  private void checkFormerLease(Member leader) {
    String term = leader.name + " " + leader.node.term();
    leaseSeen.put(term, now);
    leaseSeen.forEach(
        (other, seen) -> {
          if (!other.equals(term) && seen > leader.node.formerLeaseEndMillis()) {
            throw new AssertionError(
                "the lease of "
                    + other
                    + " was valid at "
                    + seen
                    + ", later than "
                    + term
                    + " holds: "
                    + leader.node.formerLeaseEndMillis());
          }
        });
  }

  private void checkLeaders() {
    List<String> leased = new ArrayList<>();
    for (Member member : running()) {
      if (member.node.role() == ConsensusNode.Role.LEADER) {
        String other = leaders.putIfAbsent(member.node.term(), member.name);
        if (other != null && !other.equals(member.name)) {
          throw new AssertionError("two leaders in term " + member.node.term());
        }
      }
      if (member.node.holdsLeaderLease(now)) {
        leased.add(member.name);
        checkFormerLease(member);
      }
    }
    if (leased.size() > 1) {
      throw new AssertionError("two leader leases at once: " + leased);
    }
  }
}
