package org.cowslipdale.daemon.peer;

import java.util.function.Consumer;

/** Handles messages of other VMs. It is called on event loops and must not block. */
public interface PeerHandler {

  /**
   * Handles a message.
   *
   * @param sender the name of the VM that sent the message
   * @param message the message
   * @param reply sends a reply; the reply is discarded if the sender expects none
   */
  void handle(String sender, PeerMessage message, Consumer<PeerMessage> reply);
}
