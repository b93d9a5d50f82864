package org.cowslipdale.daemon.session;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cowslipdale.core.gateway.GatewayReply;
import org.cowslipdale.core.gateway.GatewayRequest;

/** Joins one requester to the gateways of a fixture, with faults that a test chooses. */
final class InMemoryGatewayLink implements GatewayLink {

  private static final AtomicLong LAST_CONNECTION_ID = new AtomicLong(1_000);

  private final String requester;
  private final Function<String, GatewayService> gateways;
  private final Map<String, Long> connectionIds = new ConcurrentHashMap<>();
  private final Map<String, Integer> requests = new ConcurrentHashMap<>();
  private final Map<String, Fault> faults = new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<GatewayReply>> unanswered = new ConcurrentHashMap<>();
  private final AtomicLong lastRequestId = new AtomicLong();
  private volatile long delayMillis;

  /** A fault of a gateway or of the link to it. */
  enum Fault {
    /** No request arrives: the gateway is dead, frozen, or does not know the messages. */
    LOSES_REQUESTS,
    /** Acquisitions are answered; later requests do not arrive. */
    LOSES_RUNS,
    /** Statements arrive and run, but their replies are lost. */
    LOSES_RUN_REPLIES
  }

  InMemoryGatewayLink(String requester, Function<String, GatewayService> gateways) {
    this.requester = requester;
    this.gateways = gateways;
  }

  void setFault(String vm, Fault fault) {
    faults.put(vm, fault);
  }

  void repair(String vm) {
    faults.remove(vm);
  }

  /** Delays the arrival of every later request. */
  void delayRequests(long millis) {
    delayMillis = millis;
  }

  /** Ends the connection to a gateway; pending requests fail, and later ones use another one. */
  void disconnect(String vm) {
    Long ended = connectionIds.remove(vm);
    if (ended != null) {
      gateways.apply(vm).handleDisconnect(ended);
    }
    unanswered
        .values()
        .forEach(reply -> reply.completeExceptionally(new IOException("the connection is lost")));
  }

  /** Returns the number of requests that were sent to a gateway. */
  int requests(String vm) {
    return requests.getOrDefault(vm, 0);
  }

  @Override
  public CompletableFuture<GatewayReply> request(
      String vm, GatewayRequest request, long timeoutMillis) {
    requests.merge(vm, 1, Integer::sum);
    CompletableFuture<GatewayReply> result = new CompletableFuture<>();
    long id = lastRequestId.incrementAndGet();
    unanswered.put(id, result);
    result.whenComplete((reply, failure) -> unanswered.remove(id));
    boolean runs = request instanceof GatewayRequest.Run || request instanceof GatewayRequest.Read;
    Fault fault = faults.get(vm);
    boolean lost = fault == Fault.LOSES_REQUESTS || (fault == Fault.LOSES_RUNS && runs);
    if (!lost) {
      boolean replyLost = fault == Fault.LOSES_RUN_REPLIES && runs;
      deliver(vm, request, replyLost ? reply -> {} : result::complete);
    }
    return result.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void send(String vm, GatewayRequest request) {
    if (faults.get(vm) != Fault.LOSES_REQUESTS) {
      deliver(vm, request, reply -> {});
    }
  }

  private void deliver(String vm, GatewayRequest request, Consumer<GatewayReply> onReply) {
    long connectionId =
        connectionIds.computeIfAbsent(vm, name -> LAST_CONNECTION_ID.incrementAndGet());
    Runnable delivery =
        () ->
            gateways
                .apply(vm)
                .handle(
                    requester,
                    connectionId,
                    request,
                    reply -> {
                      onReply.accept(reply);
                      return CompletableFuture.completedFuture(null);
                    });
    if (delayMillis == 0) {
      delivery.run();
    } else {
      CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS).execute(delivery);
    }
  }
}
