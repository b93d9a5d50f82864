package org.cowslipdale.daemon.peer;

import java.util.concurrent.CompletionStage;

/** Handles messages of other VMs. It is called on event loops and must not block. */
public interface PeerHandler {

  /**
   * Handles a message.
   *
   * @param sender the name of the VM that sent the message
   * @param message the message
   * @param reply sends a reply; the reply is discarded if the sender expects none
   */
  void handle(String sender, PeerMessage message, ReplyChannel reply);

  /**
   * Handles the end of a connection over which another VM sent messages. No message that arrived
   * over it is handled later.
   *
   * @param connectionId the {@link ReplyChannel#connectionId} of its messages
   */
  default void handleDisconnect(long connectionId) {}

  /** Sends the reply to a message. */
  interface ReplyChannel {

    /**
     * Sends the reply.
     *
     * @param message the reply
     * @return completes once the reply has been written, or exceptionally if it cannot be
     */
    CompletionStage<Void> send(PeerMessage message);

    /** Returns the id of the connection over which the message arrived, unique in this VM. */
    default long connectionId() {
      return 0;
    }
  }
}
