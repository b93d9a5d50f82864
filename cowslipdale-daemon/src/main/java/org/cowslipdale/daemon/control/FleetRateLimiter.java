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
 * Limits the rates of customers with tokens that the control leader issues for all VMs.
 *
 * <p>A VM without a lease gets no tokens. It first spends those that it holds and then serves
 * customers at an equal share of their rates. The leader reserves this share for each VM that it
 * cannot reach; as customers usually send less than their rates allow, this rarely limits the other
 * VMs. A VM that gets no answer from a leader does the same.
 *
 * <p>A new leader starts with empty buckets. Requests that get no token wait while there is no
 * leader and shortly afterwards; otherwise they are refused after one round trip.
 */
final class FleetRateLimiter implements RateLimiter {

  /**
   * The time until tokens are requested again after a VM that does not lead has answered; a
   * fraction of the time that a change of leader takes.
   */
  private static final long NO_ISSUER_RETRY_MILLIS = 50;

  /** Longer than the issuer lets a request wait for its token plus a round trip to it. */
  private static final long MAX_ATTEMPT_MILLIS = 300;

  /** The time until a request without a token tries again while the issuer recovers. */
  private static final long RETRY_PAUSE_MILLIS = 100;

  private final ControlLink link;
  private final ViewHolder views;
  private final VmClock clock;
  private final ConcurrentMap<String, TokenStock<TicketFuture>> stocks = new ConcurrentHashMap<>();
  private final ConcurrentMap<String, LocalTokenBucket> localShares = new ConcurrentHashMap<>();
  private final TokenIssuerHealth issuerHealth = new TokenIssuerHealth();

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
    while (!tryAcquire(customer, limit, stock, deadlineMillis)) {
      long now = clock.millis();
      if (!issuerHealth.isRecovering(now) || now + RETRY_PAUSE_MILLIS >= deadlineMillis) {
        throw new RefusalException(ResultCode.RATE_EXCEEDED);
      }
      pause();
    }
  }

  /** Tries to acquire a token; a request waits for the issuer's answer for a limited time. */
  private boolean tryAcquire(
      String customer, RateLimit limit, TokenStock<TicketFuture> stock, long deadlineMillis)
      throws RefusalException {
    long startMillis = clock.millis();
    if (!holdsLease()) {
      issuerHealth.recordSilence();
      return stock.tryTake(startMillis) || tryLocalShare(customer, limit);
    }
    if (issuerHealth.isUnresponsive(startMillis)
        && (stock.tryTake(startMillis) || tryLocalShare(customer, limit))) {
      return true;
    }
    TicketFuture token = new TicketFuture();
    long attemptEndMillis = Math.min(deadlineMillis, startMillis + MAX_ATTEMPT_MILLIS);
    Ticket<TicketFuture> ticket = new Ticket<>(customer, attemptEndMillis, token);
    Admission admission = stock.offer(ticket, limit.ratePerSecond(), limit.burst(), startMillis);
    requestTokensIfDue(customer, stock);
    return switch (admission) {
      case DISPATCH -> true;
      case REFUSED -> false;
      case QUEUED ->
          token.await()
              || (issuerHealth.recordMissingToken(startMillis, clock.millis())
                  && tryLocalShare(customer, limit));
    };
  }

  private static void pause() throws RefusalException {
    try {
      Thread.sleep(RETRY_PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new RefusalException(ResultCode.SHUTTING_DOWN);
    }
  }

  @Override
  public void returnToken(String customer) {
    TokenStock<TicketFuture> stock = stocks.get(customer);
    if (stock != null && holdsLease()) {
      TicketFuture.wake(stock.returnToken(clock.millis()));
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

  /** Expires requests that have waited too long, and requests more tokens where due. */
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
            demand -> {
              TokenRequest request = new TokenRequest(customer, demand.demand());
              link.request(link.assumedLeader(), request, TokenIssuer.ANSWER_TIMEOUT_MILLIS)
                  .thenAccept(
                      reply -> {
                        if (reply instanceof TokenReply tokens) {
                          handleReply(customer, stock, demand, tokens.grant());
                        }
                      });
            });
  }

  private void handleReply(
      String customer,
      TokenStock<TicketFuture> stock,
      TokenStock.DemandMessage demand,
      TokenIssuer.@Nullable Grant grant) {
    long now = clock.millis();
    if (grant == null) {
      stock.recordNoAnswer(demand.sentMillis(), NO_ISSUER_RETRY_MILLIS, now);
      return;
    }
    issuerHealth.recordAnswer(now);
    TicketFuture.wake(stock.applyGrant(grant, demand.sentMillis(), now));
    requestTokensIfDue(customer, stock);
  }
}
