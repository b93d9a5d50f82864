package org.cowslipdale.daemon.peer;

import java.util.function.Consumer;

/** Takes in messages of other VMs; called on event loops and must not block. */
public interface PeerHandler {

  /**
   * Takes in a message.
   *
   * @param from the name of the VM that sent it
   * @param message the message
   * @param reply sends a reply; ignored if the sender expects none
   */
  void handle(String from, PeerMessage message, Consumer<PeerMessage> reply);
}
