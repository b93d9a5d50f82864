package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.cowslipdale.core.admission.Admission;
import org.cowslipdale.core.admission.Ticket;
import org.cowslipdale.core.quota.LocalTokenBucket;
import org.cowslipdale.core.quota.TokenIssuer;
import org.cowslipdale.core.quota.TokenIssuerHealth;
import org.cowslipdale.core.quota.TokenStock;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.RateLimit;
import org.cowslipdale.daemon.connection.TicketFuture;
import org.cowslipdale.daemon.peer.PeerMessage.TokenReply;
import org.cowslipdale.daemon.peer.PeerMessage.TokenRequest;
import org.cowslipdale.daemon.request.RateLimiter;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/**
 * Limits customers with tokens that the control leader issues for the whole fleet.
 *
 * <p>A VM without a lease gets no tokens. It first spends those that it holds, then serves at its
 * equal share of the rate, which the leader keeps for VMs that it has lost. Customers send less
 * than their rates allow, so the share that is kept is hardly missed. A VM that gets no answer from
 * a leader does the same.
 */
final class FleetRateLimiter implements RateLimiter {

  /** When a VM that does not lead is asked again, in milliseconds: a part of a change of leader. */
  private static final long NO_ISSUER_RETRY_MILLIS = 50;

  private final ControlLink link;
  private final ViewHolder views;
  private final VmClock clock;
  private final ConcurrentMap<String, TokenStock<TicketFuture>> stocks = new ConcurrentHashMap<>();
  private final ConcurrentMap<String, LocalTokenBucket> localShares = new ConcurrentHashMap<>();
  private final TokenIssuerHealth issuerContact = new TokenIssuerHealth();

  FleetRateLimiter(ControlLink link, ViewHolder views, VmClock clock) {
    this.link = requireNonNull(link, "link");
    this.views = requireNonNull(views, "views");
    this.clock = requireNonNull(clock, "clock");
  }

  @Override
  public void acquire(String customer, long deadlineMillis) throws RefusalException {
    RateLimit limit =
        views
            .get()
            .view()
            .configuration()
            .rateLimit(customer)
            .orElseThrow(() -> new RefusalException(ResultCode.UNAUTHENTICATED));
    TokenStock<TicketFuture> stock = stocks.computeIfAbsent(customer, name -> new TokenStock<>());
    if (!holdsLease()) {
      if (!stock.tryTake(clock.millis())) {
        acquireFromLocalShare(customer, limit);
      }
      return;
    }
    long offered = clock.millis();
    if (issuerContact.isUnresponsive(offered) && (stock.tryTake(offered) || tryLocalShare(customer, limit))) {
      return;
    }
    TicketFuture granted = new TicketFuture();
    Ticket<TicketFuture> ticket = new Ticket<>(customer, deadlineMillis, granted);
    Admission admission = stock.offer(ticket, limit.ratePerSecond(), limit.burst(), offered);
    requestTokensIfDue(customer, stock);
    if (admission == Admission.REFUSED) {
      throw new RefusalException(ResultCode.RATE_EXCEEDED);
    }
    if (admission == Admission.QUEUED && !granted.await()) {
      if (!issuerContact.recordMissingToken(offered, clock.millis())) {
        throw new RefusalException(ResultCode.RATE_EXCEEDED);
      }
      acquireFromLocalShare(customer, limit);
    }
  }

  @Override
  public void returnToken(String customer) {
    TokenStock<TicketFuture> stock = stocks.get(customer);
    if (stock != null && holdsLease()) {
      TicketFuture.wake(stock.returnToken(clock.millis()));
    }
  }

  private void acquireFromLocalShare(String customer, RateLimit limit) throws RefusalException {
    if (!tryLocalShare(customer, limit)) {
      throw new RefusalException(ResultCode.RATE_EXCEEDED);
    }
  }

  private boolean tryLocalShare(String customer, RateLimit limit) {
    int vms = Math.max(1, views.get().callerVms());
    LocalTokenBucket share = localShares.computeIfAbsent(customer, name -> new LocalTokenBucket());
    return share.tryTake(limit.ratePerSecond() / vms, clock.millis());
  }

  private boolean holdsLease() {
    return views.get().lease().isValid(clock.millis());
  }

  /** Expires requests that waited too long and asks again where it is due. */
  void tick() {
    stocks.forEach(
        (customer, stock) -> {
          TicketFuture.wake(stock.advance(clock.millis()));
          requestTokensIfDue(customer, stock);
        });
  }

  private void requestTokensIfDue(String customer, TokenStock<TicketFuture> stock) {
    stock
        .poll(clock.millis())
        .ifPresent(
            ask -> {
              TokenRequest request = new TokenRequest(customer, ask.demand());
              link.request(link.assumedLeader(), request, TokenIssuer.ANSWER_TIMEOUT_MILLIS)
                  .thenAccept(
                      reply -> {
                        if (reply instanceof TokenReply tokens) {
                          handleReply(customer, stock, ask, tokens.grant());
                        }
                      });
            });
  }

  private void handleReply(
      String customer,
      TokenStock<TicketFuture> stock,
      TokenStock.DemandMessage ask,
      TokenIssuer.@Nullable Grant grant) {
    long now = clock.millis();
    if (grant == null) {
      stock.recordNoAnswer(ask.sentMillis(), NO_ISSUER_RETRY_MILLIS, now);
      return;
    }
    issuerContact.recordAnswer(now);
    TicketFuture.wake(stock.applyGrant(grant, ask.sentMillis(), now));
    requestTokensIfDue(customer, stock);
  }
}
