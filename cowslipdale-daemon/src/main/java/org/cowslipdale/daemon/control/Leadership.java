package org.cowslipdale.daemon.control;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.cowslipdale.core.control.LeaseTable;
import org.cowslipdale.core.failover.FailoverCoordinator;
import org.cowslipdale.core.failover.PromotionMode;
import org.cowslipdale.core.permit.PermitDemand;
import org.cowslipdale.core.permit.PermitIssuer;
import org.cowslipdale.core.quota.TokenIssuer;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.PositionCollector;
import org.cowslipdale.daemon.peer.PeerMessage;
import org.cowslipdale.daemon.peer.PeerMessage.ChangeReply;
import org.cowslipdale.daemon.peer.PeerMessage.PermitReply;

/** What lives as long as this VM leads the control log; confined to the control thread. */
final class Leadership {

  private static final long REFUSAL_LOG_INTERVAL_MILLIS = 1_000;

  private final long term;
  private final LeaseTable leases;
  private final FailoverCoordinator failover;
  private final TokenIssuer tokens;
  private final PositionCollector positions;
  private final PermitIssuer permits = new PermitIssuer();
  private final Map<PermitDemand, Consumer<PeerMessage>> pendingPermits = new HashMap<>();
  private final Map<Long, CompletableFuture<ChangeReply>> pendingProposals = new HashMap<>();
  private boolean leaseRecorded;
  private final Map<String, Long> refusalLoggedMillis = new HashMap<>();

  Leadership(long term, PromotionMode promotion, long electedMillis, long formerLeaseEndMillis) {
    this.term = term;
    this.failover = new FailoverCoordinator(promotion);
    this.leases = new LeaseTable(electedMillis);
    this.tokens = new TokenIssuer(formerLeaseEndMillis);
    this.positions = new PositionCollector(term);
  }

  long term() {
    return term;
  }

  LeaseTable leases() {
    return leases;
  }

  FailoverCoordinator failover() {
    return failover;
  }

  TokenIssuer tokens() {
    return tokens;
  }

  PermitIssuer permits() {
    return permits;
  }

  void addPendingPermit(PermitDemand ask, Consumer<PeerMessage> reply) {
    pendingPermits.put(ask, reply);
  }

  void completePermit(PermitDemand ask, boolean lent) {
    Consumer<PeerMessage> reply = pendingPermits.remove(ask);
    if (reply != null) {
      reply.accept(new PermitReply(lent));
    }
  }

  PositionCollector positions() {
    return positions;
  }

  /** Tells once that the leader lease is held, so that this VM may answer. */
  boolean recordFirstLease() {
    boolean first = !leaseRecorded;
    leaseRecorded = true;
    return first;
  }

  /** Bounds the lines on customers over their rates to one a second and customer. */
  boolean mayLogRefusal(String customer, long now) {
    Long last = refusalLoggedMillis.get(customer);
    boolean due = last == null || now - last >= REFUSAL_LOG_INTERVAL_MILLIS;
    if (due) {
      refusalLoggedMillis.put(customer, now);
    }
    return due;
  }

  void addPendingProposal(long index, CompletableFuture<ChangeReply> reply) {
    pendingProposals.put(index, reply);
  }

  void completeProposal(long index, ChangeReply reply) {
    CompletableFuture<ChangeReply> waiting = pendingProposals.remove(index);
    if (waiting != null) {
      waiting.complete(reply);
    }
  }

  /** Answers the proposals whose outcome this VM will not learn. */
  void abandonProposals() {
    ChangeReply unknown = new ChangeReply(null, ResultCode.CHANGE_OUTCOME_UNKNOWN);
    pendingProposals.values().forEach(waiting -> waiting.complete(unknown));
    pendingProposals.clear();
  }
}
