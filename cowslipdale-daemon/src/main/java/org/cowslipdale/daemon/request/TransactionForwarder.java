package org.cowslipdale.daemon.request;

import org.cowslipdale.core.result.RefusalException;

/** Forwards the steps of a transaction to the VM that holds it. */
public interface TransactionForwarder {

  /**
   * Forwards a step and waits for the reply.
   *
   * @param vm the name of the VM that holds the transaction
   * @param step the step
   * @throws RefusalException if the VM does not exist or does not reply
   */
  Reply forward(String vm, TransactionStep step) throws RefusalException;
}
