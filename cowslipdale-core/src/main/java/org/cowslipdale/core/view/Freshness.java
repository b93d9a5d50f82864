package org.cowslipdale.core.view;

/** How recent the data must be that a read of a class returns. */
public sealed interface Freshness {

  /** Every read sees all writes acknowledged before it started; it runs on the primary. */
  record Latest() implements Freshness {}

  /** A read sees at least what its session has written and read. */
  record Session() implements Freshness {}

  /**
   * A read sees what its session has written and read, and data no older than a stated age.
   *
   * @param maxAgeMillis the greatest permitted age of the data, in milliseconds
   */
  record BoundedAge(long maxAgeMillis) implements Freshness {}

  /** A read may return data of any age that its session has not already seen surpassed. */
  record AnyAge() implements Freshness {}
}
