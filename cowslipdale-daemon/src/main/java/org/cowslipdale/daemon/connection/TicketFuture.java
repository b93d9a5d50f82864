package org.cowslipdale.daemon.connection;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.cowslipdale.core.admission.RequestProfile;
import org.cowslipdale.core.admission.SlotQueue;
import org.cowslipdale.core.admission.SlotQueue.Progress;
import org.cowslipdale.core.admission.Ticket;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;

/** Blocks the (virtual) thread of a request until its ticket is dispatched or expires. */
public final class TicketFuture {

  private final CompletableFuture<Boolean> dispatched = new CompletableFuture<>();
  private volatile boolean refused;

  /**
   * Waits for a slot in a queue.
   *
   * @param queue the queue
   * @param customer the customer on whose behalf the slot is used
   * @param deadlineMillis the time on the VM's monotonic clock until which to wait
   * @param now the current time on the VM's monotonic clock, in milliseconds
   * @throws RefusalException if the queue is full, the deadline has passed or the thread is
   *     interrupted; nothing was sent
   */
  public static void awaitSlot(
      SlotQueue<TicketFuture> queue, String customer, long deadlineMillis, long now)
      throws RefusalException {
    awaitSlot(queue, RequestProfile.of(customer, deadlineMillis), deadlineMillis, now);
  }

  /**
   * Waits for a slot in a queue.
   *
   * @param queue the queue
   * @param profile the properties of the request that decide when it is dispatched
   * @param deadlineMillis the time on the VM's monotonic clock until which to wait
   * @param now the current time on the VM's monotonic clock, in milliseconds
   * @throws RefusalException if the queue is full, another request displaced this one, the deadline
   *     has passed or cannot be met, or the thread is interrupted; nothing was sent
   */
  public static void awaitSlot(
      SlotQueue<TicketFuture> queue, RequestProfile profile, long deadlineMillis, long now)
      throws RefusalException {
    TicketFuture future = new TicketFuture();
    SlotQueue.Decision<TicketFuture> decision =
        queue.admit(new Ticket<>(profile, deadlineMillis, future), now);
    decision.displaced().ifPresent(ticket -> ticket.payload().refuse());
    switch (decision.admission()) {
      case REFUSED -> throw new RefusalException(ResultCode.OVERLOADED);
      case QUEUED -> {
        if (!future.await()) {
          throw new RefusalException(ResultCode.WAIT_LIMIT_REACHED);
        }
      }
      case DISPATCH -> {}
    }
  }

  /**
   * Waits until the ticket is dispatched or expires.
   *
   * @return whether it was dispatched; false if it expired
   * @throws RefusalException if the ticket was displaced or cannot meet its deadline, or the thread
   *     is interrupted; nothing was sent
   */
  public boolean await() throws RefusalException {
    try {
      boolean isDispatched = dispatched.get();
      if (refused) {
        throw new RefusalException(ResultCode.OVERLOADED);
      }
      return isDispatched;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new RefusalException(ResultCode.SHUTTING_DOWN);
    } catch (ExecutionException e) {
      throw new IllegalStateException("Tickets never complete exceptionally", e);
    }
  }

  /**
   * Wakes the threads that wait for dispatched, expired or refused tickets.
   *
   * @param progress the dispatched, expired and refused tickets
   */
  public static void wake(Progress<TicketFuture> progress) {
    progress.dispatched().forEach(ticket -> ticket.payload().dispatched.complete(true));
    progress.expired().forEach(ticket -> ticket.payload().dispatched.complete(false));
    progress.refused().forEach(ticket -> ticket.payload().refuse());
  }

  private void refuse() {
    refused = true;
    dispatched.complete(false);
  }
}
