package org.cowslipdale.daemon.peer;

import static java.util.Objects.requireNonNull;

/**
 * A message between two VMs, with the id that relates a reply to its request.
 *
 * @param correlationId the id of the request, repeated in its reply; 0 if no reply is expected
 * @param reply whether the message is a reply
 * @param message the message
 */
public record PeerFrame(long correlationId, boolean reply, PeerMessage message) {

  /** Checks that the message is not {@code null}. */
  public PeerFrame {
    requireNonNull(message, "message");
  }
}
