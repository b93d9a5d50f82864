package org.cowslipdale.daemon.session;

import java.util.concurrent.CompletableFuture;
import org.cowslipdale.core.gateway.GatewayReply;
import org.cowslipdale.core.gateway.GatewayRequest;

/** Sends requests to the gateways that hold connections for this VM. */
public interface GatewayLink {

  /**
   * Sends a request.
   *
   * @param vm the name of the gateway
   * @param request the request
   * @param timeoutMillis how long to wait for the reply, in milliseconds
   * @return a future completed with the reply, or exceptionally if none arrives in time
   */
  CompletableFuture<GatewayReply> request(String vm, GatewayRequest request, long timeoutMillis);

  /**
   * Sends a request that has no reply. It is lost if the gateway cannot be reached.
   *
   * @param vm the name of the gateway
   * @param request the request
   */
  void send(String vm, GatewayRequest request);
}
