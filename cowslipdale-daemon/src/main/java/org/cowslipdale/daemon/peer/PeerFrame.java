package org.cowslipdale.daemon.peer;

import static java.util.Objects.requireNonNull;

/**
 * A message with what is needed to answer it.
 *
 * @param correlationId a number that the reply repeats; 0 if none is expected
 * @param reply whether this is a reply
 * @param message the message
 */
public record PeerFrame(long correlationId, boolean reply, PeerMessage message) {

  /** Asserts that the message is set. */
  public PeerFrame {
    requireNonNull(message, "message");
  }
}
