package org.cowslipdale.daemon.session;

import java.util.concurrent.CompletionStage;
import org.cowslipdale.core.gateway.GatewayReply;
import org.cowslipdale.core.gateway.GatewayRequest;

/** Handles the requests of VMs for which this VM is the gateway. It must not block. */
public interface GatewayHandler {

  /**
   * Handles a request. Requests of a connection are passed in the order in which they arrived.
   *
   * @param requester the name of the VM that sent the request
   * @param connectionId the id of the peer connection over which it arrived
   * @param request the request
   * @param replies sends the reply
   */
  void handle(String requester, long connectionId, GatewayRequest request, ReplySender replies);

  /**
   * Handles the end of a peer connection, after which none of its requests is passed.
   *
   * @param connectionId the id of the peer connection
   */
  void handleDisconnect(long connectionId);

  /** Sends the reply to one request. */
  interface ReplySender {

    /**
     * Sends the reply.
     *
     * @param reply the reply
     * @return completes once the reply has been written, or exceptionally if it cannot be
     */
    CompletionStage<Void> send(GatewayReply reply);
  }
}
