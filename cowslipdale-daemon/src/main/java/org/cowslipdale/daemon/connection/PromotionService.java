package org.cowslipdale.daemon.connection;

import java.util.concurrent.CompletableFuture;

/** An outside service that makes a backend server the primary of its database. */
public interface PromotionService {

  /** What the service answered. */
  enum Answer {
    /** The server will lead, or leads already. */
    ACCEPTED,
    /** The service knows a newer fence, or the server does not run. */
    REFUSED,
    /** Too many calls were made, or the service cannot serve them now. */
    BUSY
  }

  /**
   * Asks for a promotion.
   *
   * @param database the database
   * @param server the name of the server
   * @param holder the name of the VM that asks
   * @param fence the fence of this attempt; the service refuses lower ones than it has seen
   * @return completes with the answer, or exceptionally if none came; the service may then still
   *     carry the call out
   */
  CompletableFuture<Answer> promote(String database, String server, String holder, long fence);
}
