package org.cowslipdale.daemon.connection;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/** An external service that promotes a backend server to the primary of its database. */
public interface PromotionService {

  /** The service's answer to a promotion request. */
  enum Answer {
    /** The server will become the primary, or already is the primary. */
    ACCEPTED,
    /** The service has seen a higher fence, or the server is not running. */
    REFUSED,
    /** The service received too many requests or is temporarily unavailable. */
    BUSY
  }

  /**
   * Requests a promotion.
   *
   * @param database the name of the database
   * @param server the name of the server
   * @param holder the name of the VM that requests the promotion
   * @param fence the fence of this attempt; a service that checks fences refuses those below the
   *     highest that it has seen
   * @param mayRequest evaluated right before the request is sent, after all waits; if false, the
   *     request is not sent and the future completes exceptionally
   * @return a future that completes with the answer, or exceptionally if none arrived; the service
   *     may still perform the promotion in that case
   */
  CompletableFuture<Answer> promote(
      String database, String server, String holder, long fence, BooleanSupplier mayRequest);
}
