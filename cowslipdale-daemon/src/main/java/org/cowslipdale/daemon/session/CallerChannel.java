package org.cowslipdale.daemon.session;

import org.cowslipdale.core.result.RefusalException;

/** The way back to a caller; may be called from any thread and does not block. */
public interface CallerChannel {

  /** Tells the caller that its session is open. */
  void confirmOpen();

  /**
   * Tells the caller that its session cannot be opened, or that what it sent cannot be read.
   *
   * @param refusal the reason
   */
  void refuse(RefusalException refusal);

  /**
   * Answers a statement.
   *
   * @param reply the answer
   */
  void reply(SessionReply reply);

  /** Closes the connection after everything that was written. */
  void close();
}
