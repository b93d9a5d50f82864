package org.cowslipdale.daemon.connection;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.cowslipdale.core.admission.SlotQueue;
import org.cowslipdale.core.admission.SlotQueue.Progress;
import org.cowslipdale.core.admission.Ticket;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;

/** Blocks the (virtual) thread of a request until its ticket is dispatched or expires. */
public final class TicketFuture {

  private final CompletableFuture<Boolean> dispatched = new CompletableFuture<>();

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
    TicketFuture future = new TicketFuture();
    Ticket<TicketFuture> ticket = new Ticket<>(customer, deadlineMillis, future);
    switch (queue.offer(ticket, now)) {
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
   * @throws RefusalException if the thread is interrupted; nothing was sent
   */
  public boolean await() throws RefusalException {
    try {
      return dispatched.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new RefusalException(ResultCode.SHUTTING_DOWN);
    } catch (ExecutionException e) {
      throw new IllegalStateException("Tickets never complete exceptionally", e);
    }
  }

  /**
   * Wakes the threads that wait for dispatched or expired tickets.
   *
   * @param progress the dispatched and expired tickets
   */
  public static void wake(Progress<TicketFuture> progress) {
    progress.dispatched().forEach(ticket -> ticket.payload().dispatched.complete(true));
    progress.expired().forEach(ticket -> ticket.payload().dispatched.complete(false));
  }
}
