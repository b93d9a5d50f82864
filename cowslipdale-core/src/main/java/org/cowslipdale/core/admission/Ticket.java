package org.cowslipdale.core.admission;

import static java.util.Objects.requireNonNull;

/**
 * A request that waits for a slot.
 *
 * @param <T> what the owner of the queue needs to continue the request
 * @param customer the customer that sent it
 * @param deadlineMillis until when it may wait, on the VM's monotonic clock
 * @param payload what is needed to continue it
 */
public record Ticket<T>(String customer, long deadlineMillis, T payload) {

  /** Asserts that every component is set. */
  public Ticket {
    requireNonNull(customer, "customer");
    requireNonNull(payload, "payload");
  }
}
