package org.cowslipdale.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PriorityQueueTests {

  private static final long NO_DEADLINE_MILLIS = 1_000_000;

  private final SlotQueue<String> queue = new SlotQueue<>(new QueuePolicy.Priority(), 1, 100);

  /** Guards against a lower class that delays a higher one by its arrival before it. */
  @Test
  void dispatchesHigherPrioritiesFirst() {
    offer("a", 2, "running");
    offer("a", 2, "low");
    offer("b", 1, "middle");
    offer("c", 0, "high");

    assertThat(drain(3), contains("high", "middle", "low"));
  }

  /** Guards against a customer with expensive requests that gets as many turns as the others. */
  @Test
  void customerWithLeastServiceGoesFirst() {
    RequestProfile expensive = profile("expensive", 1, "big");
    RequestProfile cheap = profile("cheap", 1, "small");
    run(queue, expensive, 50);
    run(queue, cheap, 5);
    offer("other", 1, "running");
    for (int i = 0; i < 4; i++) {
      queue.offer(new Ticket<>(expensive, NO_DEADLINE_MILLIS, "expensive"), 0);
      queue.offer(new Ticket<>(cheap, NO_DEADLINE_MILLIS, "cheap"), 0);
    }

    assertThat(drain(4), contains("cheap", "cheap", "cheap", "cheap"));
  }

  /** Guards against slots for requests that are late already while others still can be in time. */
  @Test
  void requestsThatCanMeetTheirObjectiveGoFirst() {
    offer("a", 0, "running");
    offerWithObjective("late-1", 10);
    offerWithObjective("in-time-2", 1_200);
    offerWithObjective("late-2", 20);
    offerWithObjective("in-time-1", 1_100);

    List<String> order = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      queue.release(2, 1_000).dispatched().forEach(ticket -> order.add(ticket.payload()));
    }

    assertThat(order, contains("in-time-1", "in-time-2", "late-1", "late-2"));
  }

  /** Guards against starvation of a low class under a higher one that never ends. */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 20})
  void longestWaitingRequestGetsOneInEightDispatches(int lowRequests) {
    offer("high", 0, "running");
    for (int i = 0; i < lowRequests; i++) {
      offer("low", 5, "low");
    }
    int low = 0;
    int longestGap = 0;
    int gap = 0;
    for (int i = 0; low < lowRequests && i < 1_000; i++) {
      offer("high", 0, "high");
      String dispatched = queue.release(2, i).dispatched().getFirst().payload();
      gap = dispatched.equals("low") ? 0 : gap + 1;
      longestGap = Math.max(longestGap, gap);
      low += dispatched.equals("low") ? 1 : 0;
    }

    assertThat(low, is(lowRequests));
    assertThat(longestGap, lessThanOrEqualTo(7));
  }

  /** The bound against starvation also holds where a customer reuses its connection. */
  @Test
  void reuseOfConnectionsKeepsStarvationBound() {
    offer("high", 0, "running");
    offer("low", 5, "low");
    List<String> order = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      offer("high", 0, "high");
      queue
          .releaseConnection(profile("high", 0, ""), 2, i)
          .dispatched()
          .forEach(ticket -> order.add(ticket.payload()));
    }

    assertThat(order.indexOf("low"), is(7));
  }

  /**
   * Guards against new connections for each request, and against one customer that never yields.
   */
  @Test
  void customerKeepsItsConnectionForOneTurnAtItsPriority() {
    offer("a", 0, "a");
    for (int i = 0; i < 10; i++) {
      offer("a", 0, "a");
    }
    offer("b", 0, "b");
    List<String> order = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      queue
          .releaseConnection(profile("a", 0, ""), 2, i)
          .dispatched()
          .forEach(ticket -> order.add(ticket.payload()));
    }

    assertThat(order, contains("a", "a", "a", "a", "b"));
  }

  @Test
  void connectionOfLowerPriorityIsNotKeptWhileHigherOneWaits() {
    offer("a", 1, "a");
    offer("a", 1, "a");
    offer("b", 0, "b");

    List<Ticket<String>> next = queue.releaseConnection(profile("a", 1, ""), 2, 1).dispatched();

    assertThat(next.getFirst().payload(), is("b"));
  }

  /** Guards against a full queue of a low class that shuts higher ones out. */
  @Test
  void higherPriorityDisplacesLowestFromFullQueue() {
    SlotQueue<String> full = new SlotQueue<>(new QueuePolicy.Priority(), 1, 3);
    full.offer(ticket("a", 1, "running"), 0);
    full.offer(ticket("a", 1, "first"), 0);
    full.offer(ticket("a", 2, "second"), 0);
    full.offer(ticket("a", 2, "third"), 0);

    SlotQueue.Decision<String> high = full.admit(ticket("b", 0, "high"), 0);
    SlotQueue.Decision<String> low = full.admit(ticket("b", 2, "low"), 0);

    assertThat(high.admission(), is(Admission.QUEUED));
    assertThat(high.displaced().map(Ticket::payload), is(Optional.of("third")));
    assertThat(low.admission(), is(Admission.REFUSED));
    assertThat(low.displaced(), is(Optional.empty()));
    assertThat(full.outstanding(), is(4));
  }

  /** Guards against one customer that fills the queue of its priority and shuts others out. */
  @Test
  void customerWithFewRequestsDisplacesOneOfCustomerWithMany() {
    SlotQueue<String> full = new SlotQueue<>(new QueuePolicy.Priority(), 1, 3);
    for (int i = 0; i < 4; i++) {
      full.offer(ticket("hot", 1, "hot"), 0);
    }

    SlotQueue.Decision<String> other = full.admit(ticket("other", 1, "other"), 0);
    SlotQueue.Decision<String> hot = full.admit(ticket("hot", 1, "hot"), 0);

    assertThat(other.admission(), is(Admission.QUEUED));
    assertThat(other.displaced().map(Ticket::payload), is(Optional.of("hot")));
    assertThat(hot.admission(), is(Admission.REFUSED));
  }

  /** One mean over all classes would refuse cheap requests because expensive ones ran before. */
  @Test
  void estimatesWaitFromServiceTimesOfTheClassesThatWait() {
    run(queue, profile("a", 1, "big"), 100);
    run(queue, profile("a", 1, "small"), 1);
    queue.offer(new Ticket<>(profile("a", 1, "small"), NO_DEADLINE_MILLIS, "running"), 0);
    for (int i = 0; i < 5; i++) {
      queue.offer(new Ticket<>(profile("a", 1, "small"), NO_DEADLINE_MILLIS, "small"), 0);
    }

    Ticket<String> behindSmall = new Ticket<>(profile("a", 1, "small"), 30, "small");
    assertThat(queue.offer(behindSmall, 0), is(Admission.QUEUED));

    queue.offer(new Ticket<>(profile("a", 1, "big"), NO_DEADLINE_MILLIS, "big"), 0);
    Ticket<String> behindBig = new Ticket<>(profile("a", 1, "small"), 30, "small");
    assertThat(queue.offer(behindBig, 0), is(Admission.REFUSED));
  }

  /**
   * A request whose estimate was good at its arrival is told at once when later requests of higher
   * priorities make its deadline unreachable.
   */
  @Test
  void refusesWaitingRequestOnceItCannotMeetItsDeadline() {
    run(queue, profile("a", 0, ""), 10);
    offer("a", 0, "running");
    for (int i = 0; i < 20; i++) {
      queue.offer(new Ticket<>(profile("older", 1, ""), NO_DEADLINE_MILLIS, "older"), 0);
    }
    queue.offer(new Ticket<>(profile("low", 1, ""), 150, "low"), 0);
    assertThat(queue.advance(0).refused().size(), is(0));
    for (int i = 0; i < 30; i++) {
      offer("a", 0, "high");
    }

    SlotQueue.Progress<String> progress = queue.advance(60);

    assertThat(progress.expired().size(), is(0));
    assertThat(progress.refused().stream().map(Ticket::payload).toList(), contains("low"));
  }

  @Test
  void expiresRequestsAtTheirDeadline() {
    offer("a", 0, "running");
    queue.offer(new Ticket<>(profile("a", 0, ""), 50, "late"), 0);

    assertThat(queue.advance(40).expired().size(), is(0));
    assertThat(queue.advance(50).expired().size(), is(1));
    assertThat(queue.outstanding(), is(1));
  }

  /** A connection that could not be opened must not make its class look fast. */
  @Test
  void unusedSlotIsNoServiceTime() {
    RequestProfile slow = profile("a", 0, "slow");
    run(queue, slow, 100);
    for (int i = 0; i < 50; i++) {
      queue.offer(new Ticket<>(slow, NO_DEADLINE_MILLIS, "unused"), 0);
      queue.releaseUnused(slow, 0);
    }
    queue.offer(new Ticket<>(slow, NO_DEADLINE_MILLIS, "running"), 0);

    Ticket<String> urgent = new Ticket<>(slow, 60, "urgent");
    assertThat(queue.offer(urgent, 0), is(Admission.REFUSED));
  }

  /** Two customers that always wait get equal service, whatever their requests cost. */
  @Test
  void customersThatAlwaysWaitGetEqualService() {
    double[] service = new double[2];
    int[] millis = {10, 2};
    List<RequestProfile> profiles = List.of(profile("a", 1, "a"), profile("b", 1, "b"));
    profiles.forEach(each -> queue.offer(new Ticket<>(each, NO_DEADLINE_MILLIS, "0"), 0));
    int running = 0;
    long now = 0;
    for (int i = 0; i < 2_000; i++) {
      for (int each = 0; each < 2; each++) {
        queue.admit(new Ticket<>(profiles.get(each), NO_DEADLINE_MILLIS, "" + each), now);
      }
      now += millis[running];
      service[running] += millis[running];
      running =
          Integer.parseInt(
              queue
                  .release(profiles.get(running), millis[running], now)
                  .dispatched()
                  .getFirst()
                  .payload());
    }

    double share = service[0] / (service[0] + service[1]);
    assertThat(share, greaterThan(0.4));
    assertThat(share, lessThanOrEqualTo(0.6));
  }

  private void offer(String customer, int priority, String payload) {
    queue.offer(ticket(customer, priority, payload), 0);
  }

  private void offerWithObjective(String payload, long objectiveMillis) {
    RequestProfile profile = new RequestProfile("a", 0, objectiveMillis, "");
    queue.offer(new Ticket<>(profile, NO_DEADLINE_MILLIS, payload), 0);
  }

  private static void run(SlotQueue<String> queue, RequestProfile profile, double millis) {
    queue.offer(new Ticket<>(profile, NO_DEADLINE_MILLIS, "run"), 0);
    queue.release(profile, millis, 0);
  }

  private static Ticket<String> ticket(String customer, int priority, String payload) {
    return new Ticket<>(profile(customer, priority, ""), NO_DEADLINE_MILLIS, payload);
  }

  private static RequestProfile profile(String customer, int priority, String serviceClass) {
    return new RequestProfile(customer, priority, NO_DEADLINE_MILLIS, serviceClass);
  }

  private List<String> drain(int count) {
    List<String> order = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      queue.release(2, 0).dispatched().forEach(ticket -> order.add(ticket.payload()));
    }
    return Collections.unmodifiableList(order);
  }
}
