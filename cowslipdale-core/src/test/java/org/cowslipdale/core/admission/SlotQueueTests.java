package org.cowslipdale.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class SlotQueueTests {

  private static final long NO_DEADLINE_MILLIS = 1_000_000;

  @Test
  void dispatchesCustomersInTurn() {
    SlotQueue<String> queue = new SlotQueue<>(new QueuePolicy.Fair(), 1, 100);
    offer(queue, "busy", 0);
    for (int i = 0; i < 10; i++) {
      assertThat(offer(queue, "busy", 0), is(Admission.QUEUED));
    }
    offer(queue, "small", 0);

    List<String> order = drain(queue, 11);

    assertThat(order.indexOf("small"), lessThanOrEqualTo(1));
  }

  @Test
  void dispatchesInOrderOfArrivalUnderFifoPolicy() {
    SlotQueue<String> queue = new SlotQueue<>(new QueuePolicy.Fifo(), 1, 100);
    for (int i = 0; i < 11; i++) {
      offer(queue, "busy", 0);
    }
    offer(queue, "small", 0);

    assertThat(drain(queue, 11).indexOf("small"), is(10));
  }

  @Test
  void refusesRequestThatWouldMissItsDeadline() {
    SlotQueue<String> queue = new SlotQueue<>(new QueuePolicy.Fair(), 1, 1_000);
    Ticket<String> first = new Ticket<>("busy", NO_DEADLINE_MILLIS, "busy");
    queue.offer(first, 0);
    for (int i = 0; i < 200; i++) {
      queue.offer(first, 0);
      queue.release(100, 0);
    }
    for (int i = 0; i < 10; i++) {
      offer(queue, "busy", 0);
    }

    Ticket<String> urgentBusy = new Ticket<>("busy", 500, "busy");
    Ticket<String> urgentSmall = new Ticket<>("small", 500, "small");

    assertThat(queue.offer(urgentBusy, 0), is(Admission.REFUSED));
    assertThat(queue.offer(urgentSmall, 0), is(Admission.QUEUED));
  }

  @Test
  void expiresRequestsAtTheirDeadline() {
    SlotQueue<String> queue = new SlotQueue<>(new QueuePolicy.Fair(), 1, 100);
    offer(queue, "a", 0);
    queue.offer(new Ticket<>("a", 50, "late"), 0);

    assertThat(queue.advance(49).expired().size(), is(0));
    assertThat(queue.advance(50).expired().size(), is(1));
    assertThat(queue.release(1, 51).dispatched().size(), is(0));
  }

  @Test
  void boundsNumberOfWaitingRequests() {
    SlotQueue<String> queue = new SlotQueue<>(new QueuePolicy.Fair(), 1, 2);

    assertThat(offer(queue, "a", 0), is(Admission.DISPATCH));
    assertThat(offer(queue, "a", 0), is(Admission.QUEUED));
    assertThat(offer(queue, "a", 0), is(Admission.QUEUED));
    assertThat(offer(queue, "b", 0), is(Admission.REFUSED));
  }

  /**
   * Guards against a new connection for each request at the worst load: when several customers wait
   * for one connection, each uses it a few times before the next one replaces it.
   */
  @Test
  void customerKeepsItsConnectionForOneTurn() {
    SlotQueue<String> queue = new SlotQueue<>(new QueuePolicy.Fair(), 1, 100);
    offer(queue, "small", 0);
    for (int i = 0; i < 10; i++) {
      offer(queue, "large", 0);
      offer(queue, "small", 0);
    }

    List<String> order = new ArrayList<>();
    String customer = "small";
    for (int i = 0; i < 20; i++) {
      Ticket<String> next = queue.releaseConnection(customer, 1, 0).dispatched().getFirst();
      customer = next.customer();
      order.add(customer);
    }

    long replacements =
        IntStream.range(1, 20).filter(i -> !order.get(i).equals(order.get(i - 1))).count();
    assertThat(replacements, is(lessThan(7L)));
    assertThat(
        "requests of one customer before another one's turn",
        order.subList(0, 2 * SlotQueue.MAX_TURN_REQUESTS),
        hasItems("small", "large"));
  }

  private static Admission offer(SlotQueue<String> queue, String customer, long now) {
    return queue.offer(new Ticket<>(customer, NO_DEADLINE_MILLIS, customer), now);
  }

  private static List<String> drain(SlotQueue<String> queue, int count) {
    List<String> order = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      queue.release(1, 0).dispatched().forEach(ticket -> order.add(ticket.payload()));
    }
    return order;
  }
}
