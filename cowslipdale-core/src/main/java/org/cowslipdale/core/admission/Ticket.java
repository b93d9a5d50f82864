package org.cowslipdale.core.admission;

import static java.util.Objects.requireNonNull;

/**
 * A request that waits for a slot or a token.
 *
 * @param <T> the payload with which the caller continues the request
 * @param customer the name of the customer that sent the request
 * @param deadlineMillis the time until which the request may wait, on the VM's monotonic clock
 * @param payload the payload with which the caller continues the request
 */
public record Ticket<T>(String customer, long deadlineMillis, T payload) {

  /** Checks that customer and payload are not {@code null}. */
  public Ticket {
    requireNonNull(customer, "customer");
    requireNonNull(payload, "payload");
  }
}
