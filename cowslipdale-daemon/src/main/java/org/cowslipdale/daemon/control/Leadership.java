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

/**
 * The state of a control leader in one term of the control log.
 *
 * <p>It is discarded when this VM stops leading. This class is confined to the control thread.
 */
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

  Leadership(long term, PromotionMode promotion, long electedMillis, long previousLeaseEndMillis) {
    this.term = term;
    this.failover = new FailoverCoordinator(promotion);
    this.leases = new LeaseTable(electedMillis);
    this.tokens = new TokenIssuer(previousLeaseEndMillis);
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

  /** Stores where to send the answer to a demand for a permit. */
  void addPendingPermit(PermitDemand demand, Consumer<PeerMessage> reply) {
    pendingPermits.put(demand, reply);
  }

  /** Answers a demand for a permit, if an answer is still due. */
  void completePermit(PermitDemand demand, boolean granted) {
    Consumer<PeerMessage> reply = pendingPermits.remove(demand);
    if (reply != null) {
      reply.accept(new PermitReply(granted));
    }
  }

  PositionCollector positions() {
    return positions;
  }

  /** Records that the leader lease is held; returns whether this is the first time. */
  boolean recordFirstLease() {
    boolean first = !leaseRecorded;
    leaseRecorded = true;
    return first;
  }

  /**
   * Returns whether refused tokens of a customer, or refused permits of a server, may be logged
   * now, which limits these log lines to one per second for each. A line that may be logged counts
   * as written.
   */
  boolean mayLogRefusal(String name, long now) {
    Long last = refusalLoggedMillis.get(name);
    boolean due = last == null || now - last >= REFUSAL_LOG_INTERVAL_MILLIS;
    if (due) {
      refusalLoggedMillis.put(name, now);
    }
    return due;
  }

  /** Stores the reply that is completed once the log entry at an index is applied. */
  void addPendingProposal(long index, CompletableFuture<ChangeReply> reply) {
    pendingProposals.put(index, reply);
  }

  /** Completes the proposal at an index, if it is pending. */
  void completeProposal(long index, ChangeReply reply) {
    CompletableFuture<ChangeReply> pending = pendingProposals.remove(index);
    if (pending != null) {
      pending.complete(reply);
    }
  }

  /** Completes all pending proposals with an unknown outcome. */
  void abandonProposals() {
    ChangeReply unknown = new ChangeReply(null, ResultCode.CHANGE_OUTCOME_UNKNOWN);
    pendingProposals.values().forEach(pending -> pending.complete(unknown));
    pendingProposals.clear();
  }
}
