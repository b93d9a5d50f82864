package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.cowslipdale.core.gateway.GatewayReply;
import org.cowslipdale.core.gateway.GatewayRequest;
import org.cowslipdale.daemon.peer.PeerMessage.GatewayAnswer;
import org.cowslipdale.daemon.peer.PeerMessage.GatewayCall;
import org.cowslipdale.daemon.session.GatewayLink;

/** Sends requests to gateways over the connections between VMs. */
final class PeerGatewayLink implements GatewayLink {

  private final ControlLink link;

  PeerGatewayLink(ControlLink link) {
    this.link = requireNonNull(link, "link");
  }

  @Override
  public CompletableFuture<GatewayReply> request(
      String vm, GatewayRequest request, long timeoutMillis) {
    return link.request(vm, new GatewayCall(request), timeoutMillis)
        .thenCompose(
            reply ->
                reply instanceof GatewayAnswer answer
                    ? CompletableFuture.completedFuture(answer.reply())
                    : CompletableFuture.failedFuture(new IOException("unexpected reply")));
  }

  @Override
  public void send(String vm, GatewayRequest request) {
    link.send(vm, new GatewayCall(request));
  }
}
