package org.cowslipdale.daemon.session;

import org.cowslipdale.core.result.RefusalException;

/**
 * Sends replies to a caller.
 *
 * <p>The methods may be called from any thread. Only {@link #awaitWritable} blocks.
 */
public interface CallerChannel {

  /** Notifies the caller that its session is open. */
  void confirmOpen();

  /**
   * Notifies the caller that its session cannot be opened or that its input cannot be parsed.
   *
   * @param refusal the reason
   */
  void refuse(RefusalException refusal);

  /**
   * Sends the reply to a statement.
   *
   * @param reply the reply
   */
  void reply(SessionReply reply);

  /**
   * Blocks the calling thread while too much output is pending, so that no further statement runs
   * for a caller that does not read its replies.
   */
  default void awaitWritable() throws InterruptedException {}

  /** Closes the connection after all pending output has been written. */
  void close();
}
