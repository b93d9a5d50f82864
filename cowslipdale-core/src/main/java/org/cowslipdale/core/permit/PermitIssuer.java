package org.cowslipdale.core.permit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.cowslipdale.core.control.LeaseTimings;
import org.jspecify.annotations.Nullable;

/**
 * The control leader's account of the connections to servers that VMs may open.
 *
 * <p>The sum of the permits of a server never exceeds its capacity. What a VM may hold beyond what
 * it stated counts as lent: answers on their way, connections of a former process that servers may
 * still count, and everything that a former leader may have lent to a VM that has not stated what
 * it holds yet. This class is confined to one thread.
 */
public final class PermitIssuer {

  /** Permits of one server that a VM may hold: a transaction beside a few single statements. */
  public static final int MAX_PERMITS_PER_VM = 4;

  /** How long an ask waits for a permit that is given back; shorter than the asker's patience. */
  public static final long MAX_WAIT_MILLIS = 300;

  private final Map<String, Holder> holders = new HashMap<>();
  private final Deque<WaitingDemand> waiting = new ArrayDeque<>();
  private int recallTurn;

  /** What is known of one VM. */
  private static final class Holder {

    private final long incarnation;
    private final Map<String, Integer> held = new HashMap<>();
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

    int reserved(String server, long now) {
      return held(server) + (now < previouslyHeldUntilMillis ? previouslyHeld.getOrDefault(server, 0) : 0);
    }
  }

  /**
   * Takes in what a VM holds.
   *
   * @param vm the name of the VM
   * @param statement what it holds
   * @param now the present time on the leader's monotonic clock, in milliseconds
   */
  public void applyReport(String vm, PermitReport statement, long now) {
    Holder holder = holders.get(vm);
    if (holder == null || holder.incarnation != statement.incarnation()) {
      holder = createHolder(holder, statement, now);
      holders.put(vm, holder);
    }
    boolean complete =
        statement.settledNumber() >= holder.lastGrantedNumber && statement.settledNumber() >= holder.settledNumber;
    if (complete) {
      holder.settledNumber = statement.settledNumber();
      holder.held.clear();
      holder.held.putAll(statement.held());
    }
  }

  /**
   * Takes in that a VM has connections that its permits do not cover.
   *
   * @param vm the name of the VM
   */
  public void discardReport(String vm) {
    holders.remove(vm);
  }

  private static Holder createHolder(@Nullable Holder before, PermitReport statement, long now) {
    Holder next = new Holder(statement.incarnation());
    if (before != null) {
      next.previouslyHeld = Map.copyOf(before.held);
      next.previouslyHeldUntilMillis = now + LeaseTimings.ORPHANED_CONNECTION_MILLIS;
    }
    return next;
  }

  /**
   * Answers an ask.
   *
   * @param vm the name of the VM that asked
   * @param demand what it asked for
   * @param granted whether the permit is lent
   */
  public record Answer(String vm, PermitDemand demand, boolean granted) {}

  private record WaitingDemand(String vm, PermitDemand demand, long deadlineMillis) {}

  /**
   * Takes in an ask, which {@link #answerDemands} answers now or within {@link #MAX_WAIT_MILLIS}.
   *
   * @param vm the name of the VM that asks
   * @param ask what it asks for
   * @param now the present time on the leader's monotonic clock, in milliseconds
   */
  public void addDemand(String vm, PermitDemand ask, long now) {
    waiting.add(new WaitingDemand(vm, ask, now + MAX_WAIT_MILLIS));
  }

  /**
   * Lends what is free in the order of the asks, and gives up those that have waited too long.
   *
   * @param users the VMs that may have connections to servers
   * @param now the present time on the leader's monotonic clock, in milliseconds
   */
  public List<Answer> answerDemands(Collection<String> users, long now) {
    List<Answer> answers = new ArrayList<>();
    if (waiting.isEmpty()) {
      return answers;
    }
    holders.keySet().retainAll(users);
    Map<String, Integer> free = new HashMap<>();
    for (Iterator<WaitingDemand> each = waiting.iterator(); each.hasNext(); ) {
      WaitingDemand next = each.next();
      PermitDemand ask = next.demand();
      int left =
          free.computeIfAbsent(
              ask.server(), server -> ask.capacity() - totalReserved(server, users, now));
      boolean lent = left > 0 && tryGrant(next.vm(), ask);
      if (lent) {
        free.put(ask.server(), left - 1);
      }
      if (lent || now >= next.deadlineMillis()) {
        each.remove();
        answers.add(new Answer(next.vm(), ask, lent));
      }
    }
    return answers;
  }

  private boolean tryGrant(String vm, PermitDemand ask) {
    Holder holder = holders.get(vm);
    boolean answerable =
        holder != null
            && holder.incarnation == ask.incarnation()
            && ask.number() > holder.settledNumber
            && holder.held(ask.server()) < MAX_PERMITS_PER_VM;
    if (answerable) {
      holder.lastGrantedNumber = Math.max(holder.lastGrantedNumber, ask.number());
      holder.held.merge(ask.server(), 1, Integer::sum);
    }
    return answerable;
  }

  private int totalReserved(String server, Collection<String> users, long now) {
    int sum = 0;
    for (String user : users) {
      Holder holder = holders.get(user);
      sum += holder == null ? MAX_PERMITS_PER_VM : holder.reserved(server, now);
    }
    return sum;
  }

  /**
   * Chooses the VMs that are asked to give a permit back; they take turns.
   *
   * @param server the name of the server
   * @param except the VM that needs a permit
   * @param count how many VMs to choose
   */
  public List<String> selectForRecall(String server, String except, int count) {
    List<String> lenders = new ArrayList<>();
    holders.forEach(
        (vm, holder) -> {
          if (!vm.equals(except) && holder.held(server) > 0) {
            lenders.add(vm);
          }
        });
    lenders.sort(null);
    List<String> chosen = new ArrayList<>();
    for (int i = 0; i < Math.min(count, lenders.size()); i++) {
      chosen.add(lenders.get(Math.floorMod(recallTurn++, lenders.size())));
    }
    return chosen;
  }
}
