package org.cowslipdale.testsupport.network;

/**
 * The delay, bandwidth and loss of a link.
 *
 * @param delayMillis one-way delay, in milliseconds
 * @param bytesPerSecond bandwidth of a connection in each direction, in bytes per second; 0 for
 *     unlimited
 * @param dropForward whether bytes from the side that opened the connection are silently dropped
 * @param dropBackward whether bytes to the side that opened the connection are silently dropped
 */
public record LinkCondition(
    long delayMillis, long bytesPerSecond, boolean dropForward, boolean dropBackward) {

  /** Forwards all bytes without a delay. */
  public static final LinkCondition NO_FAULTS = new LinkCondition(0, 0, false, false);

  /** Drops all bytes in both directions, while connections stay open. */
  public static final LinkCondition DROP_ALL = new LinkCondition(0, 0, true, true);

  /** Drops bytes from the side that opened the connection; forwards bytes to it. */
  public static final LinkCondition DROP_FORWARD = new LinkCondition(0, 0, true, false);

  /**
   * Returns a condition that delays all bytes and has no other fault.
   *
   * @param millis one-way delay, in milliseconds
   */
  public static LinkCondition delayed(long millis) {
    return new LinkCondition(millis, 0, false, false);
  }
}
