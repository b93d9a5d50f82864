package org.cowslipdale.core.permit;

import static java.util.Comparator.comparingInt;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipdale.core.control.LeaseTimings;
import org.jspecify.annotations.Nullable;

/**
 * Grants VMs permits to open connections to servers; runs on the control leader.
 *
 * <p>The sum of the permits of a server never exceeds its capacity. Permits that a VM may hold
 * beyond those that it reported count as granted: grants in flight, connections of a previous
 * process that servers may still count, and the most that a previous leader may have granted to the
 * VMs that have not sent a report yet: never more than the capacity without the permits that the
 * other VMs held when they first reported. This class is confined to one thread.
 */
public final class PermitIssuer {

  /**
   * Maximum number of permits of one server that a VM may hold; enough for a transaction beside a
   * few single statements.
   */
  public static final int MAX_PERMITS_PER_VM = 4;

  /**
   * Maximum time that a demand waits for a released permit, in milliseconds. Shorter than the time
   * that the requester waits for the answer.
   */
  public static final long MAX_WAIT_MILLIS = 300;

  /** Of this many grants, one goes to the demand that has waited longest, so that none starves. */
  static final int OLDEST_FIRST_INTERVAL = 8;

  private final Map<String, Holder> holders = new HashMap<>();

  /** The VMs that have sent a report to this leader, complete or not. */
  private final Set<String> knownVms = new HashSet<>();

  /** The sum of the permits of each server in the first reports of VMs. */
  private final Map<String, Integer> firstReported = new HashMap<>();

  private final Map<String, Set<WaitingDemand>> waitingByServer = new HashMap<>();
  private int recallTurn;
  private int grantsSinceOldest;
  private long nextSequence;

  /** The permits of one VM. */
  private static final class Holder {

    private final long incarnation;
    private final Map<String, Integer> held = new HashMap<>();

    /** The permits of the previous process, whose connections servers may still count. */
    private Map<String, Integer> previouslyHeld = Map.of();

    private long previouslyHeldUntilMillis = Long.MIN_VALUE;
    private long lastGrantedNumber;
    private long settledNumber;

    Holder(long incarnation) {
      this.incarnation = incarnation;
    }

    int held(String server) {
      return held.getOrDefault(server, 0);
    }

    int previouslyHeld(String server, long now) {
      return now < previouslyHeldUntilMillis ? previouslyHeld.getOrDefault(server, 0) : 0;
    }
  }

  /**
   * Applies a report, unless it is older than a grant to the VM or than the last applied report. If
   * the process of the VM has changed, the permits of the previous process count until servers drop
   * its connections.
   *
   * @param vm the name of the VM
   * @param report the permits that it holds
   * @param now the current time on the leader's monotonic clock, in milliseconds
   * @return the servers of which the VM holds fewer permits than before
   */
  public Set<String> applyReport(String vm, PermitReport report, long now) {
    Holder holder = holders.get(vm);
    if (knownVms.add(vm)) {
      report.held().forEach((server, count) -> firstReported.merge(server, count, Integer::sum));
    }
    if (holder == null || holder.incarnation != report.incarnation()) {
      holder = createHolder(holder, report, now);
      holders.put(vm, holder);
    }
    boolean complete =
        report.settledNumber() >= holder.lastGrantedNumber
            && report.settledNumber() >= holder.settledNumber;
    Set<String> released = new HashSet<>();
    if (complete) {
      holder.settledNumber = report.settledNumber();
      holder.held.forEach(
          (server, count) -> {
            if (count > report.held().getOrDefault(server, 0)) {
              released.add(server);
            }
          });
      holder.held.clear();
      holder.held.putAll(report.held());
    }
    return released;
  }

  /**
   * Discards the report of a VM that has connections without permits. The VM counts as holding the
   * maximum until its next report.
   *
   * @param vm the name of the VM
   */
  public void discardReport(String vm) {
    knownVms.add(vm);
    holders.remove(vm);
  }

  private static Holder createHolder(@Nullable Holder previous, PermitReport report, long now) {
    Holder holder = new Holder(report.incarnation());
    if (previous != null) {
      holder.previouslyHeld = Map.copyOf(previous.held);
      holder.previouslyHeldUntilMillis = now + LeaseTimings.ORPHANED_CONNECTION_MILLIS;
    }
    return holder;
  }

  /**
   * An answer to a demand.
   *
   * @param vm the name of the VM that sent the demand
   * @param demand the demand
   * @param granted whether the permit is granted
   */
  public record Answer(String vm, PermitDemand demand, boolean granted) {}

  private record WaitingDemand(
      long sequence, String vm, PermitDemand demand, long deadlineMillis) {}

  /**
   * Adds a demand, which {@link #answerDemands} answers at once or after at most {@link
   * #MAX_WAIT_MILLIS}.
   *
   * @param vm the name of the VM that sends the demand
   * @param demand the demand
   * @param now the current time on the leader's monotonic clock, in milliseconds
   */
  public void addDemand(String vm, PermitDemand demand, long now) {
    waitingByServer
        .computeIfAbsent(demand.server(), server -> new LinkedHashSet<>())
        .add(new WaitingDemand(nextSequence++, vm, demand, now + MAX_WAIT_MILLIS));
  }

  /**
   * Grants free permits by priority, within a priority in the order of the demands, and rejects
   * demands that have waited too long. One in {@link #OLDEST_FIRST_INTERVAL} grants goes to the
   * demand that has waited longest.
   *
   * @param vms the names of the VMs that may have connections to servers
   * @param now the current time on the leader's monotonic clock, in milliseconds
   */
  public List<Answer> answerDemands(Collection<String> vms, long now) {
    List<Answer> answers = new ArrayList<>();
    for (String server : List.copyOf(waitingByServer.keySet())) {
      answers.addAll(answerDemands(server, vms, now));
    }
    return answers;
  }

  /**
   * Answers the demands for permits of one server, as {@link #answerDemands(Collection, long)}
   * does. The work depends on the demands for this server and the number of VMs only.
   *
   * @param server the name of the server
   * @param vms the names of the VMs that may have connections to servers
   * @param now the current time on the leader's monotonic clock, in milliseconds
   */
  public List<Answer> answerDemands(String server, Collection<String> vms, long now) {
    List<Answer> answers = new ArrayList<>();
    Set<WaitingDemand> waiting = waitingByServer.get(server);
    if (waiting == null) {
      return answers;
    }
    holders.keySet().retainAll(vms);
    Reservation reservation = reservation(server, vms, now);
    List<WaitingDemand> byPriority = new ArrayList<>(waiting);
    byPriority.sort(comparingInt(each -> each.demand().effectivePriority()));
    Iterator<WaitingDemand> nextByPriority = byPriority.iterator();
    Iterator<WaitingDemand> nextByAge = List.copyOf(waiting).iterator();
    Set<WaitingDemand> considered = new HashSet<>();
    int grantCount = 0;
    while (considered.size() < byPriority.size()) {
      boolean isOldestDue = grantsSinceOldest >= OLDEST_FIRST_INTERVAL - 1;
      WaitingDemand next = (isOldestDue ? nextByAge : nextByPriority).next();
      if (!considered.add(next)) {
        continue;
      }
      PermitDemand demand = next.demand();
      boolean granted =
          reservation.total(demand.capacity()) + grantCount < demand.capacity()
              && tryGrant(next.vm(), demand);
      if (granted) {
        grantCount++;
        grantsSinceOldest = isOldestDue ? 0 : grantsSinceOldest + 1;
      }
      if (granted || now >= next.deadlineMillis()) {
        waiting.remove(next);
        answers.add(new Answer(next.vm(), demand, granted));
      }
    }
    if (waiting.isEmpty()) {
      waitingByServer.remove(server);
    }
    return answers;
  }

  private boolean tryGrant(String vm, PermitDemand demand) {
    Holder holder = holders.get(vm);
    boolean grantable =
        holder != null
            && holder.incarnation == demand.incarnation()
            && demand.number() > holder.settledNumber
            && holder.held(demand.server()) < MAX_PERMITS_PER_VM;
    if (grantable) {
      holder.lastGrantedNumber = Math.max(holder.lastGrantedNumber, demand.number());
      holder.held.merge(demand.server(), 1, Integer::sum);
    }
    return grantable;
  }

  /**
   * The permits of a server that are not free.
   *
   * @param reported the permits that VMs reported or were granted since
   * @param previouslyHeld the permits of previous processes, whose connections servers may still
   *     count
   * @param uncoveredVms the number of VMs with connections without permits, which count as holding
   *     the maximum
   * @param unknownVms the number of VMs that have not sent a report to this leader
   * @param firstReported the permits that the other VMs held when they first reported
   */
  public record Reservation(
      int reported, int previouslyHeld, int uncoveredVms, int unknownVms, int firstReported) {

    int total(int capacity) {
      int unknown =
          Math.clamp(
              (long) unknownVms * MAX_PERMITS_PER_VM, 0, Math.max(0, capacity - firstReported));
      return reported + previouslyHeld + uncoveredVms * MAX_PERMITS_PER_VM + unknown;
    }
  }

  /**
   * Returns the permits of a server that VMs may hold.
   *
   * @param server the name of the server
   * @param vms the names of the VMs that may have connections to servers
   * @param now the current time on the leader's monotonic clock, in milliseconds
   */
  public Reservation reservation(String server, Collection<String> vms, long now) {
    int reported = 0;
    int previouslyHeld = 0;
    int uncoveredVms = 0;
    int unknownVms = 0;
    for (String vm : vms) {
      Holder holder = holders.get(vm);
      if (!knownVms.contains(vm)) {
        unknownVms++;
      } else if (holder == null) {
        uncoveredVms++;
      } else {
        reported += holder.held(server);
        previouslyHeld += holder.previouslyHeld(server, now);
      }
    }
    return new Reservation(
        reported, previouslyHeld, uncoveredVms, unknownVms, firstReported.getOrDefault(server, 0));
  }

  /**
   * Selects VMs that hold permits of a server and are requested to release one; VMs take turns.
   *
   * @param server the name of the server
   * @param except the name of the VM that requested a permit
   * @param count the maximum number of VMs to select
   */
  public List<String> selectForRecall(String server, String except, int count) {
    List<String> candidates = new ArrayList<>();
    holders.forEach(
        (vm, holder) -> {
          if (!vm.equals(except) && holder.held(server) > 0) {
            candidates.add(vm);
          }
        });
    candidates.sort(null);
    List<String> selected = new ArrayList<>();
    for (int i = 0; i < Math.min(count, candidates.size()); i++) {
      selected.add(candidates.get(Math.floorMod(recallTurn++, candidates.size())));
    }
    return selected;
  }
}
