package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

/**
 * A class of requests with common requirements and limits, declared by operators.
 *
 * @param name the class name, as it appears in request paths
 * @param readOnly whether requests of the class only read data
 * @param repeatable whether a request may run again after its answer was lost
 * @param freshness how recent the data of reads must be
 * @param acknowledgement when a write is acknowledged
 * @param waitLimitMillis the longest wait of a request before dispatch, in milliseconds
 * @param runLimitMillis the longest run time of a request after dispatch, in milliseconds
 */
public record WorkClass(
    String name,
    boolean readOnly,
    boolean repeatable,
    Freshness freshness,
    Acknowledgement acknowledgement,
    long waitLimitMillis,
    long runLimitMillis) {

  /** Rejects null components and checks that the limits are positive. */
  public WorkClass {
    requireNonNull(name, "name");
    requireNonNull(freshness, "freshness");
    requireNonNull(acknowledgement, "acknowledgement");
    if (waitLimitMillis <= 0 || runLimitMillis <= 0) {
      throw new IllegalArgumentException("waitLimitMillis and runLimitMillis must be positive");
    }
  }
}
