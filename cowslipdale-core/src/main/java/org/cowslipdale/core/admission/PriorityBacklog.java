package org.cowslipdale.core.admission;

import static java.util.Comparator.comparingDouble;
import static java.util.Comparator.comparingInt;
import static java.util.Comparator.comparingLong;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * The waiting requests of a queue with the policy {@link QueuePolicy.Priority}; not thread-safe.
 *
 * @param <T> the payload with which the caller continues a request
 */
final class PriorityBacklog<T> {

  /**
   * The interval at which the estimates of all waiting requests are checked again. Each check reads
   * the whole queue, so it does not run with every release of a slot.
   */
  private static final long REVIEW_INTERVAL_MILLIS = 50;

  /** The waiting requests by priority and customer, each in order of arrival. */
  private final TreeMap<Integer, Map<String, Deque<Entry<T>>>> levels = new TreeMap<>();

  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final AttainedService attained = new AttainedService();
  private long nextSequence;
  private int size;
  private int dispatchesSinceOldest;
  private int turnRequests;
  private String turnCustomer = "";
  private long nextReviewMillis = Long.MIN_VALUE;

  private record Entry<T>(Ticket<T> ticket, long sequence) {}

  int size() {
    return size;
  }

  void add(Ticket<T> ticket) {
    levels
        .computeIfAbsent(ticket.profile().priority(), priority -> new LinkedHashMap<>())
        .computeIfAbsent(ticket.customer(), customer -> new ArrayDeque<>())
        .add(new Entry<>(ticket, nextSequence++));
    size++;
  }

  /** Records that a request gets a slot; its expected service counts at once. */
  void recordDispatch(RequestProfile profile, long now) {
    attained.add(profile.customer(), serviceTimes.meanMillis(profile.serviceClass()), now);
  }

  /** Records how long a slot was in use and corrects the service of the customer by it. */
  void recordRelease(RequestProfile profile, double usedMillis, long now) {
    double expected = serviceTimes.meanMillis(profile.serviceClass());
    attained.add(profile.customer(), usedMillis - expected, now);
    serviceTimes.record(profile.serviceClass(), usedMillis);
  }

  /** Records that a slot was not used, because no connection was available. */
  void recordUnused(RequestProfile profile, long now) {
    attained.add(profile.customer(), -serviceTimes.meanMillis(profile.serviceClass()), now);
  }

  /** Returns whether a new request is expected to get no slot before its deadline. */
  boolean wouldMissDeadline(Ticket<T> ticket, int slots, long now) {
    RequestProfile profile = ticket.profile();
    Deque<Entry<T>> own = levelOf(profile.priority()).get(profile.customer());
    int ownAhead = own == null ? 0 : own.size();
    double work = workAbove(profile.priority()) + workAtLevel(profile, ownAhead);
    return now + expectedWaitMillis(profile, work, size, slots) > ticket.deadlineMillis();
  }

  /**
   * Removes the request that a new one displaces from a full queue: the latest of the customer with
   * the most waiting requests of the lowest priority. Within the same priority, a customer
   * displaces only another one that has at least two more requests waiting.
   */
  Optional<Ticket<T>> displaceFor(RequestProfile profile) {
    if (levels.isEmpty() || levels.lastKey() < profile.priority()) {
      return Optional.empty();
    }
    Map<String, Deque<Entry<T>>> level = levels.lastEntry().getValue();
    Deque<Entry<T>> longest = level.values().stream().max(comparingInt(Deque::size)).orElseThrow();
    Deque<Entry<T>> own = level.get(profile.customer());
    boolean displaces =
        levels.lastKey() > profile.priority()
            || longest.size() > (own == null ? 0 : own.size()) + 1;
    if (!displaces) {
      return Optional.empty();
    }
    Entry<T> displaced = longest.getLast();
    remove(displaced);
    return Optional.of(displaced.ticket());
  }

  List<Ticket<T>> removeExpired(long now) {
    return removeIf(entry -> entry.ticket().deadlineMillis() <= now);
  }

  /**
   * Removes the requests that are no longer expected to get a slot before their deadline, for
   * example because requests of higher priorities arrived after them. Does nothing if the last
   * check is recent.
   */
  List<Ticket<T>> removeHopeless(int slots, long now) {
    if (size == 0 || now < nextReviewMillis) {
      return List.of();
    }
    nextReviewMillis = now + REVIEW_INTERVAL_MILLIS;
    Map<Long, Integer> ranks = ranksByArrival();
    List<Entry<T>> hopeless = new ArrayList<>();
    double workAbove = 0;
    for (Map<String, Deque<Entry<T>>> level : levels.values()) {
      Map<String, double[]> cumulativeWork = new HashMap<>();
      level.forEach((customer, queue) -> cumulativeWork.put(customer, cumulativeWork(queue)));
      for (Deque<Entry<T>> queue : level.values()) {
        int ahead = 0;
        for (Entry<T> entry : queue) {
          RequestProfile profile = entry.ticket().profile();
          double work = workAbove + workBefore(cumulativeWork, profile.customer(), ahead);
          int older = ranks.getOrDefault(entry.sequence(), 0);
          if (now + expectedWaitMillis(profile, work, older, slots)
              > entry.ticket().deadlineMillis()) {
            hopeless.add(entry);
          } else {
            ahead++;
          }
        }
      }
      workAbove += workOf(level);
    }
    hopeless.forEach(this::remove);
    return hopeless.stream().map(Entry::ticket).toList();
  }

  private Map<Long, Integer> ranksByArrival() {
    List<Long> sequences = new ArrayList<>(size);
    levels
        .values()
        .forEach(
            level ->
                level
                    .values()
                    .forEach(queue -> queue.forEach(entry -> sequences.add(entry.sequence()))));
    sequences.sort(null);
    Map<Long, Integer> ranks = new HashMap<>();
    for (int i = 0; i < sequences.size(); i++) {
      ranks.put(sequences.get(i), i);
    }
    return ranks;
  }

  /** Returns the work of the first 0, 1, 2 and more requests of a queue. */
  private double[] cumulativeWork(Deque<Entry<T>> queue) {
    double[] work = new double[queue.size() + 1];
    int count = 0;
    for (Entry<T> entry : queue) {
      work[count + 1] = work[count] + meanMillis(entry);
      count++;
    }
    return work;
  }

  private static double workBefore(
      Map<String, double[]> cumulativeWork, String customer, int ownAhead) {
    double work = 0;
    for (Map.Entry<String, double[]> each : cumulativeWork.entrySet()) {
      int turns = each.getKey().equals(customer) ? ownAhead : ownAhead + 1;
      work += each.getValue()[Math.min(turns, each.getValue().length - 1)];
    }
    return work;
  }

  /** Removes the next request to dispatch; the backlog must not be empty. */
  Ticket<T> removeNext(long now) {
    Map<String, Deque<Entry<T>>> level = levels.firstEntry().getValue();
    Deque<Entry<T>> queue =
        level.entrySet().stream()
            .min(
                comparingDouble(
                    (Map.Entry<String, Deque<Entry<T>>> each) ->
                        attained.millis(each.getKey(), now)))
            .orElseThrow()
            .getValue();
    return dispatch(isOldestDue() ? oldest() : firstOf(queue, now), now);
  }

  /**
   * Removes the next request of a customer that can use a released connection, unless its turn is
   * over, a request of a higher priority waits or the longest waiting request is due.
   */
  Optional<Ticket<T>> removeNextOf(String customer, long now) {
    if (levels.isEmpty() || isOldestDue()) {
      return Optional.empty();
    }
    Deque<Entry<T>> queue = levels.firstEntry().getValue().get(customer);
    boolean turnIsOver =
        turnCustomer.equals(customer) && turnRequests >= SlotQueue.MAX_TURN_REQUESTS;
    return queue == null || turnIsOver
        ? Optional.empty()
        : Optional.of(dispatch(firstOf(queue, now), now));
  }

  private Ticket<T> dispatch(Entry<T> entry, long now) {
    dispatchesSinceOldest = entry.sequence() == oldest().sequence() ? 0 : dispatchesSinceOldest + 1;
    String customer = entry.ticket().customer();
    turnRequests = turnCustomer.equals(customer) ? turnRequests + 1 : 1;
    turnCustomer = customer;
    remove(entry);
    recordDispatch(entry.ticket().profile(), now);
    return entry.ticket();
  }

  private boolean isOldestDue() {
    return dispatchesSinceOldest >= QueuePolicy.Priority.OLDEST_FIRST_INTERVAL - 1;
  }

  private Entry<T> oldest() {
    return levels.values().stream()
        .flatMap(level -> level.values().stream())
        .map(Deque::getFirst)
        .min(comparingLong(Entry::sequence))
        .orElseThrow();
  }

  /** Returns the request of a customer's queue that is dispatched first. */
  private Entry<T> firstOf(Deque<Entry<T>> queue, long now) {
    Comparator<Entry<T>> order =
        Comparator.comparing((Entry<T> entry) -> isLate(entry.ticket().profile(), now))
            .thenComparingLong(entry -> entry.ticket().profile().objectiveMillis())
            .thenComparingLong(Entry::sequence);
    return queue.stream().min(order).orElseThrow();
  }

  private boolean isLate(RequestProfile profile, long now) {
    return now + serviceTimes.meanMillis(profile.serviceClass()) > profile.objectiveMillis();
  }

  /**
   * Returns the wait for a slot: the time until the requests ahead were served, or until the
   * request is the one that waited longest, whichever is shorter.
   */
  private double expectedWaitMillis(
      RequestProfile profile, double workAheadMillis, int older, int slots) {
    double own = serviceTimes.meanMillis(profile.serviceClass());
    int interval = QueuePolicy.Priority.OLDEST_FIRST_INTERVAL;
    double byOrder = workAheadMillis * interval / (interval - 1);
    double byAge = (double) interval * older * serviceTimes.meanMillis();
    return (Math.min(byOrder, byAge) + own) / slots;
  }

  private double workAbove(int priority) {
    return levels.headMap(priority).values().stream().mapToDouble(this::workOf).sum();
  }

  private double workOf(Map<String, Deque<Entry<T>>> level) {
    return level.values().stream().mapToDouble(queue -> workOf(queue, queue.size())).sum();
  }

  private double workOf(Deque<Entry<T>> queue, int count) {
    return queue.stream().limit(count).mapToDouble(this::meanMillis).sum();
  }

  private double meanMillis(Entry<T> entry) {
    return serviceTimes.meanMillis(entry.ticket().profile().serviceClass());
  }

  /** Returns the work of the same priority that is served before a customer's request. */
  private double workAtLevel(RequestProfile profile, int ownAhead) {
    double work = 0;
    for (Map.Entry<String, Deque<Entry<T>>> each : levelOf(profile.priority()).entrySet()) {
      boolean own = each.getKey().equals(profile.customer());
      work += workOf(each.getValue(), own ? ownAhead : ownAhead + 1);
    }
    return work;
  }

  private Map<String, Deque<Entry<T>>> levelOf(int priority) {
    return levels.getOrDefault(priority, Map.of());
  }

  private void remove(Entry<T> entry) {
    int priority = entry.ticket().profile().priority();
    Map<String, Deque<Entry<T>>> level = levels.get(priority);
    Deque<Entry<T>> queue = level.get(entry.ticket().customer());
    queue.removeIf(candidate -> candidate.sequence() == entry.sequence());
    if (queue.isEmpty()) {
      level.remove(entry.ticket().customer());
    }
    if (level.isEmpty()) {
      levels.remove(priority);
    }
    size--;
  }

  private List<Ticket<T>> removeIf(Predicate<Entry<T>> condition) {
    List<Ticket<T>> removed = new ArrayList<>();
    for (Map<String, Deque<Entry<T>>> level : levels.values()) {
      for (Deque<Entry<T>> queue : level.values()) {
        for (Iterator<Entry<T>> each = queue.iterator(); each.hasNext(); ) {
          Entry<T> entry = each.next();
          if (condition.test(entry)) {
            each.remove();
            removed.add(entry.ticket());
          }
        }
      }
      level.values().removeIf(Deque::isEmpty);
    }
    levels.values().removeIf(Map::isEmpty);
    size -= removed.size();
    return removed;
  }
}
