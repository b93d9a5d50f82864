package org.cowslipdale.core.admission;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Gives a limited number of slots of one backend server to the requests that wait for them.
 *
 * <p>Under the fair policy customers take turns, so a customer with many waiting requests delays
 * another by at most one request per turn. A request whose expected wait exceeds its limit is
 * refused at once, before it costs anything. This class is safe for use by several threads.
 *
 * @param <T> what the owner of the queue needs to continue a request
 */
public final class SlotQueue<T> {

  private static final double SMOOTHING_FACTOR = 0.1;
  private static final double INITIAL_SERVICE_MILLIS = 2;
  private static final String SHARED_QUEUE = "";

  private final QueuePolicy policy;
  private final int maxQueued;
  private final Map<String, Deque<Ticket<T>>> waiting = new LinkedHashMap<>();
  private int slots;
  private int running;
  private int queued;
  private double meanServiceMillis = INITIAL_SERVICE_MILLIS;

  /**
   * Creates a queue.
   *
   * @param policy the order in which requests are dispatched
   * @param slots how many requests may run at a time
   * @param maxQueued how many requests may wait at a time
   */
  public SlotQueue(QueuePolicy policy, int slots, int maxQueued) {
    this.policy = requireNonNull(policy, "policy");
    if (slots < 1 || maxQueued < 0) {
      throw new IllegalArgumentException("slots must be positive, maxQueued not negative");
    }
    this.slots = slots;
    this.maxQueued = maxQueued;
  }

  /**
   * What happened to the waiting requests.
   *
   * @param <T> what the owner of the queue needs to continue a request
   * @param dispatched requests that now have a slot
   * @param expired requests whose wait limit has passed
   */
  public record Progress<T>(List<Ticket<T>> dispatched, List<Ticket<T>> expired) {}

  /**
   * Asks for a slot.
   *
   * @param ticket the request
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Admission offer(Ticket<T> ticket, long now) {
    if (running < slots && queued == 0) {
      running++;
      return Admission.DISPATCH;
    }
    if (queued >= maxQueued || wouldMissDeadline(ticket, now)) {
      return Admission.REFUSED;
    }
    waiting.computeIfAbsent(queueKey(ticket), key -> new ArrayDeque<>()).add(ticket);
    queued++;
    return Admission.QUEUED;
  }

  /**
   * Returns a slot.
   *
   * @param usedMillis how long the slot was in use, in milliseconds
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> release(double usedMillis, long now) {
    running--;
    meanServiceMillis += SMOOTHING_FACTOR * (usedMillis - meanServiceMillis);
    return advance(now);
  }

  /**
   * Expires requests that waited too long and fills free slots.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> advance(long now) {
    List<Ticket<T>> expired = removeExpired(now);
    List<Ticket<T>> dispatched = new ArrayList<>();
    while (running < slots && queued > 0) {
      dispatched.add(removeNext());
      running++;
    }
    return new Progress<>(dispatched, expired);
  }

  /**
   * Changes how many requests may run at a time.
   *
   * @param slots the new number
   */
  public synchronized void resize(int slots) {
    this.slots = Math.max(1, slots);
  }

  /** Returns how many requests run or wait. */
  public synchronized int outstanding() {
    return running + queued;
  }

  private String queueKey(Ticket<T> ticket) {
    return switch (policy) {
      case QueuePolicy.Fair fair -> ticket.customer();
      case QueuePolicy.Fifo fifo -> SHARED_QUEUE;
    };
  }

  private boolean wouldMissDeadline(Ticket<T> ticket, long now) {
    return switch (policy) {
      case QueuePolicy.Fifo fifo -> false;
      case QueuePolicy.Fair fair ->
          now + expectedWaitMillis(ticket.customer()) > ticket.deadlineMillis();
    };
  }

  /** Counts the requests that will be dispatched before the customer's next one. */
  private double expectedWaitMillis(String customer) {
    Deque<Ticket<T>> own = waiting.get(customer);
    int turns = own == null ? 1 : own.size() + 1;
    int ahead = turns - 1;
    for (Map.Entry<String, Deque<Ticket<T>>> entry : waiting.entrySet()) {
      if (!entry.getKey().equals(customer)) {
        ahead += Math.min(turns, entry.getValue().size());
      }
    }
    return (ahead + 1) * meanServiceMillis / slots;
  }

  private List<Ticket<T>> removeExpired(long now) {
    List<Ticket<T>> expired = new ArrayList<>();
    if (queued == 0) {
      return expired;
    }
    for (Deque<Ticket<T>> queue : waiting.values()) {
      queue.removeIf(
          ticket -> {
            boolean late = ticket.deadlineMillis() <= now;
            if (late) {
              expired.add(ticket);
            }
            return late;
          });
    }
    queued -= expired.size();
    waiting.values().removeIf(Deque::isEmpty);
    return expired;
  }

  /** Takes the head of the first customer's queue and moves that customer to the end. */
  private Ticket<T> removeNext() {
    Map.Entry<String, Deque<Ticket<T>>> first = waiting.entrySet().iterator().next();
    String customer = first.getKey();
    Deque<Ticket<T>> queue = first.getValue();
    waiting.remove(customer);
    Ticket<T> ticket = queue.remove();
    if (!queue.isEmpty()) {
      waiting.put(customer, queue);
    }
    queued--;
    return ticket;
  }
}
