package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

/**
 * Targets that operators state for one class of work.
 *
 * @param name the class name, as it appears in request paths
 * @param readOnly whether requests of the class never change data
 * @param repeatable whether a request may run again when its answer was lost
 * @param freshness how recent the data of reads must be
 * @param acknowledgement when a write is acknowledged
 * @param waitLimitMillis how long a request may wait before dispatch, in milliseconds
 * @param runLimitMillis how long a request may run after dispatch, in milliseconds
 */
public record WorkClass(
    String name,
    boolean readOnly,
    boolean repeatable,
    Freshness freshness,
    Acknowledgement acknowledgement,
    long waitLimitMillis,
    long runLimitMillis) {

  /** Asserts that every component is set and every duration positive. */
  public WorkClass {
    requireNonNull(name, "name");
    requireNonNull(freshness, "freshness");
    requireNonNull(acknowledgement, "acknowledgement");
    if (waitLimitMillis <= 0 || runLimitMillis <= 0) {
      throw new IllegalArgumentException("waitLimitMillis and runLimitMillis must be positive");
    }
  }
}
