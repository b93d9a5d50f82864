package org.cowslipdale.core.view;

/** Defines how recent the data returned by a read must be. */
public sealed interface Freshness {

  /** A read runs on the primary and sees all writes acknowledged before it started. */
  record Latest() implements Freshness {}

  /** A read sees at least the log position that its session has written or read. */
  record Session() implements Freshness {}

  /**
   * A read sees at least the log position of its session, and data no older than a maximum age.
   *
   * @param maxAgeMillis the maximum age of the data, in milliseconds
   */
  record BoundedAge(long maxAgeMillis) implements Freshness {}

  /** A read may see data of any age, but none older than its session has already observed. */
  record AnyAge() implements Freshness {}
}
