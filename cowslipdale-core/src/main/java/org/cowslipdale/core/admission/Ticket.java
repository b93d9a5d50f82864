package org.cowslipdale.core.admission;

import static java.util.Objects.requireNonNull;

/**
 * A request that waits for a slot or a token.
 *
 * @param <T> the payload with which the caller continues the request
 * @param profile what the order of dispatch depends on
 * @param deadlineMillis the time until which the request may wait, on the VM's monotonic clock
 * @param payload the payload with which the caller continues the request
 */
public record Ticket<T>(RequestProfile profile, long deadlineMillis, T payload) {

  /** Checks that profile and payload are not {@code null}. */
  public Ticket {
    requireNonNull(profile, "profile");
    requireNonNull(payload, "payload");
  }

  /**
   * Creates a ticket for a queue that does not order by priority.
   *
   * @param customer the name of the customer that sent the request
   * @param deadlineMillis the time until which the request may wait, on the VM's monotonic clock
   * @param payload the payload with which the caller continues the request
   */
  public Ticket(String customer, long deadlineMillis, T payload) {
    this(RequestProfile.of(customer, deadlineMillis), deadlineMillis, payload);
  }

  /** Returns the name of the customer that sent the request. */
  public String customer() {
    return profile.customer();
  }
}
