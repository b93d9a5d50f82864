package org.cowslipdale.daemon.connection;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.cowslipdale.core.admission.SlotQueue;
import org.cowslipdale.core.admission.SlotQueue.Progress;
import org.cowslipdale.core.admission.Ticket;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;

/** Lets the (virtual) thread of a request wait until its ticket is dispatched or expires. */
public final class TicketFuture {

  private final CompletableFuture<Boolean> dispatched = new CompletableFuture<>();

  /**
   * Waits for a slot of a queue.
   *
   * @param queue the queue
   * @param customer the customer on whose behalf the slot is used
   * @param deadlineMillis until when to wait, on the VM's monotonic clock
   * @param now the present time on the VM's monotonic clock, in milliseconds
   * @throws RefusalException if the deadline forbids it; nothing was sent
   */
  public static void awaitSlot(
      SlotQueue<TicketFuture> queue, String customer, long deadlineMillis, long now)
      throws RefusalException {
    TicketFuture granted = new TicketFuture();
    Ticket<TicketFuture> ticket = new Ticket<>(customer, deadlineMillis, granted);
    switch (queue.offer(ticket, now)) {
      case REFUSED -> throw new RefusalException(ResultCode.OVERLOADED);
      case QUEUED -> {
        if (!granted.await()) {
          throw new RefusalException(ResultCode.WAIT_LIMIT_REACHED);
        }
      }
      case DISPATCH -> {}
    }
  }

  /**
   * Waits for the ticket.
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
      throw new IllegalStateException("tickets are only dispatched or expired", e);
    }
  }

  /**
   * Wakes the threads whose tickets were dispatched or expired.
   *
   * @param progress the tickets
   */
  public static void wake(Progress<TicketFuture> progress) {
    progress.dispatched().forEach(ticket -> ticket.payload().dispatched.complete(true));
    progress.expired().forEach(ticket -> ticket.payload().dispatched.complete(false));
  }
}
