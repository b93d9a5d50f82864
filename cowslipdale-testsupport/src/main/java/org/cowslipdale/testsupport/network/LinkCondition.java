package org.cowslipdale.testsupport.network;

/**
 * How a link treats what passes through it.
 *
 * @param delayMillis one-way delay, in milliseconds
 * @param bytesPerSecond bandwidth of each direction; 0 for unlimited
 * @param dropForward whether bytes from the opening side are lost silently
 * @param dropBackward whether bytes to the opening side are lost silently
 */
public record LinkCondition(
    long delayMillis, long bytesPerSecond, boolean dropForward, boolean dropBackward) {

  /** A link that passes everything at once. */
  public static final LinkCondition NO_FAULTS = new LinkCondition(0, 0, false, false);

  /** A link through which nothing passes, while connections seem to stay open. */
  public static final LinkCondition DROP_ALL = new LinkCondition(0, 0, true, true);

  /** A link through which only bytes to the opening side pass. */
  public static final LinkCondition DROP_FORWARD = new LinkCondition(0, 0, true, false);

  /**
   * Returns a link with a delay.
   *
   * @param millis one-way delay, in milliseconds
   */
  public static LinkCondition delayed(long millis) {
    return new LinkCondition(millis, 0, false, false);
  }
}
