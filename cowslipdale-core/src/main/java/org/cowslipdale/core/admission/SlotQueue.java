package org.cowslipdale.core.admission;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Assigns a limited number of slots of one backend server to requests that wait for them.
 *
 * <p>Under the fair policy customers take turns, so a customer with many waiting requests delays
 * another by at most one request per turn, or by at most {@link #MAX_TURN_REQUESTS} where the
 * released slot has a connection that only the same customer can use again: when many customers
 * wait for few connections, replacing one for each request would take as long as the requests
 * themselves. This policy also refuses a request at once, before it uses any resources, if the
 * request is expected to miss its deadline. The priority policy keeps its requests in a {@link
 * PriorityBacklog}. This class is safe for use by several threads.
 *
 * @param <T> the payload with which the caller continues a request
 */
public final class SlotQueue<T> {

  private static final double SMOOTHING_FACTOR = 0.1;
  private static final String SHARED_QUEUE = "";

  /** The maximum number of requests that a customer sends over one connection in its turn. */
  static final int MAX_TURN_REQUESTS = 4;

  private final QueuePolicy policy;
  private final int maxQueued;

  /** The requests that wait under the priority policy. */
  private final PriorityBacklog<T> backlog = new PriorityBacklog<>();

  /** The requests that wait under the other policies. */
  private final Map<String, Deque<Ticket<T>>> waiting = new LinkedHashMap<>();

  /** How many requests of the current turn of a waiting customer were dispatched. */
  private final Map<String, Integer> turnRequests = new HashMap<>();

  private int slots;
  private int running;
  private int queued;
  private double meanServiceMillis = ServiceTimes.INITIAL_SERVICE_MILLIS;

  /**
   * Creates a queue.
   *
   * @param policy the order in which requests are dispatched
   * @param slots the maximum number of requests that run at a time
   * @param maxQueued the maximum number of requests that wait at a time
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
   * The waiting requests that were dispatched or have expired.
   *
   * @param <T> the payload with which the caller continues a request
   * @param dispatched requests that now have a slot or token
   * @param expired requests whose deadline has passed, or that cannot get a token before it
   * @param refused requests that were displaced by others, or are now expected to miss their
   *     deadline
   */
  public record Progress<T>(
      List<Ticket<T>> dispatched, List<Ticket<T>> expired, List<Ticket<T>> refused) {

    /**
     * Creates a progress without refused requests.
     *
     * @param dispatched requests that now have a slot or token
     * @param expired requests whose deadline has passed, or that cannot get a token before it
     */
    public Progress(List<Ticket<T>> dispatched, List<Ticket<T>> expired) {
      this(dispatched, expired, List.of());
    }
  }

  /**
   * The decision on a request.
   *
   * @param <T> the payload with which the caller continues a request
   * @param admission the decision
   * @param displaced the waiting request that the new one displaced, if any; it is refused
   */
  public record Decision<T>(Admission admission, Optional<Ticket<T>> displaced) {}

  /**
   * Takes a slot, or adds the request to the queue if no other request must leave it.
   *
   * @param ticket the request
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Admission offer(Ticket<T> ticket, long now) {
    if (running < slots && queued() == 0) {
      running++;
      if (policy instanceof QueuePolicy.Priority) {
        backlog.recordDispatch(ticket.profile(), now);
      }
      return Admission.DISPATCH;
    }
    if (queued() >= maxQueued || wouldMissDeadline(ticket, now)) {
      return Admission.REFUSED;
    }
    enqueue(ticket);
    return Admission.QUEUED;
  }

  /**
   * Takes a slot, or adds the request to the queue. Under the priority policy the request may
   * displace another from a full queue.
   *
   * @param ticket the request
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Decision<T> admit(Ticket<T> ticket, long now) {
    Optional<Ticket<T>> displaced = Optional.empty();
    if (policy instanceof QueuePolicy.Priority
        && queued() >= maxQueued
        && !wouldMissDeadline(ticket, now)) {
      displaced = backlog.displaceFor(ticket.profile());
    }
    return new Decision<>(offer(ticket, now), displaced);
  }

  private void enqueue(Ticket<T> ticket) {
    if (policy instanceof QueuePolicy.Priority) {
      backlog.add(ticket);
    } else {
      waiting.computeIfAbsent(queueKey(ticket), key -> new ArrayDeque<>()).add(ticket);
      queued++;
    }
  }

  private int queued() {
    return queued + backlog.size();
  }

  /**
   * Releases a slot and assigns it to a waiting request.
   *
   * @param usedMillis how long the slot was in use, in milliseconds
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> release(double usedMillis, long now) {
    recordRelease(usedMillis);
    return advance(now);
  }

  /**
   * Releases a slot whose connection only one customer can use again, and assigns it to the next
   * request of that customer if its turn is not over, otherwise as {@link #release(double, long)}.
   *
   * @param customer the name of the customer
   * @param usedMillis how long the slot was in use, in milliseconds
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> releaseConnection(String customer, double usedMillis, long now) {
    recordRelease(usedMillis);
    List<Ticket<T>> expired = removeExpired(now);
    List<Ticket<T>> dispatched = new ArrayList<>();
    int turn = turnRequests.getOrDefault(customer, 1);
    if (running < slots && waiting.containsKey(customer) && turn < MAX_TURN_REQUESTS) {
      dispatched.add(removeFirstOf(customer));
      turnRequests.put(customer, turn + 1);
      running++;
    }
    Progress<T> rest = advance(now);
    dispatched.addAll(rest.dispatched());
    return new Progress<>(dispatched, expired);
  }

  /**
   * Releases the slot of a request and assigns it to a waiting one. Under the priority policy, the
   * time counts for the class and the customer of the request.
   *
   * @param profile the request that used the slot
   * @param usedMillis how long the slot was in use, in milliseconds
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> release(RequestProfile profile, double usedMillis, long now) {
    if (policy instanceof QueuePolicy.Priority) {
      backlog.recordRelease(profile, usedMillis, now);
    }
    return release(usedMillis, now);
  }

  /**
   * Releases the slot of a request whose connection only the same customer can use again. Under the
   * priority policy, the time counts for the class and the customer of the request.
   *
   * @param profile the request that used the slot
   * @param usedMillis how long the slot was in use, in milliseconds
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> releaseConnection(
      RequestProfile profile, double usedMillis, long now) {
    if (!(policy instanceof QueuePolicy.Priority)) {
      return releaseConnection(profile.customer(), usedMillis, now);
    }
    backlog.recordRelease(profile, usedMillis, now);
    recordRelease(usedMillis);
    List<Ticket<T>> expired = removeExpired(now);
    List<Ticket<T>> dispatched = new ArrayList<>();
    if (running < slots) {
      backlog.removeNextOf(profile.customer(), now).ifPresent(dispatched::add);
      running += dispatched.size();
    }
    Progress<T> rest = advance(now);
    dispatched.addAll(rest.dispatched());
    return new Progress<>(dispatched, expired, rest.refused());
  }

  /**
   * Releases a slot that a request did not use because it got no connection, and assigns it to a
   * waiting request. Its time does not count as a service time.
   *
   * @param profile the request that had the slot
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> releaseUnused(RequestProfile profile, long now) {
    if (!(policy instanceof QueuePolicy.Priority)) {
      return release(0, now);
    }
    backlog.recordUnused(profile, now);
    running--;
    return advance(now);
  }

  private void recordRelease(double usedMillis) {
    running--;
    meanServiceMillis += SMOOTHING_FACTOR * (usedMillis - meanServiceMillis);
  }

  /**
   * Removes requests whose deadline has passed and dispatches others to free slots.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public synchronized Progress<T> advance(long now) {
    List<Ticket<T>> expired = removeExpired(now);
    List<Ticket<T>> dispatched = new ArrayList<>();
    List<Ticket<T>> hopeless = backlog.removeHopeless(slots, now);
    while (running < slots && queued() > 0) {
      dispatched.add(backlog.size() > 0 ? backlog.removeNext(now) : removeNext());
      running++;
    }
    return new Progress<>(dispatched, expired, hopeless);
  }

  /**
   * Changes the maximum number of requests that run at a time. Running requests beyond it keep
   * their slots.
   *
   * @param slots the new number; at least 1 is used
   */
  public synchronized void resize(int slots) {
    this.slots = Math.max(1, slots);
  }

  /** Returns the number of requests that run or wait. */
  public synchronized int outstanding() {
    return running + queued();
  }

  private String queueKey(Ticket<T> ticket) {
    return switch (policy) {
      case QueuePolicy.Fair fair -> ticket.customer();
      case QueuePolicy.Priority priority -> ticket.customer();
      case QueuePolicy.Fifo fifo -> SHARED_QUEUE;
    };
  }

  private boolean wouldMissDeadline(Ticket<T> ticket, long now) {
    return switch (policy) {
      case QueuePolicy.Fifo fifo -> false;
      case QueuePolicy.Fair fair ->
          now + expectedWaitMillis(ticket.customer()) > ticket.deadlineMillis();
      case QueuePolicy.Priority priority -> backlog.wouldMissDeadline(ticket, slots, now);
    };
  }

  /** Estimates the wait from the number of requests dispatched before the customer's next one. */
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
    if (backlog.size() > 0) {
      return backlog.removeExpired(now);
    }
    List<Ticket<T>> expired = new ArrayList<>();
    if (queued == 0) {
      return expired;
    }
    for (Deque<Ticket<T>> queue : waiting.values()) {
      queue.removeIf(
          ticket -> {
            boolean isExpired = ticket.deadlineMillis() <= now;
            if (isExpired) {
              expired.add(ticket);
            }
            return isExpired;
          });
    }
    queued -= expired.size();
    waiting.values().removeIf(Deque::isEmpty);
    turnRequests.keySet().retainAll(waiting.keySet());
    return expired;
  }

  /**
   * Removes the first request of the first customer, whose turn begins, and moves it to the end.
   */
  private Ticket<T> removeNext() {
    String customer = waiting.keySet().iterator().next();
    Deque<Ticket<T>> queue = waiting.get(customer);
    Ticket<T> ticket = removeFirstOf(customer);
    if (!queue.isEmpty()) {
      waiting.remove(customer);
      waiting.put(customer, queue);
      turnRequests.put(customer, 1);
    }
    return ticket;
  }

  private Ticket<T> removeFirstOf(String customer) {
    Deque<Ticket<T>> queue = waiting.get(customer);
    Ticket<T> ticket = queue.remove();
    if (queue.isEmpty()) {
      waiting.remove(customer);
      turnRequests.remove(customer);
    }
    queued--;
    return ticket;
  }
}
