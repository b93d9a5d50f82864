package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;
import org.cowslipdale.config.protocol.BackendAnswer;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.WorkClass;
import org.cowslipdale.daemon.request.RequestClaims.Claim;
import org.jspecify.annotations.Nullable;

/**
 * The transactions that this VM holds; each owns one backend connection until it ends.
 *
 * <p>A transaction id is the name of the VM, a dot and a random number, so that every VM knows
 * where to forward its statements.
 */
final class TransactionRegistry {

  private static final int ID_BYTES = 16;

  private final String vm;
  private final SecureRandom random = new SecureRandom();
  private final Map<String, Transaction> transactionsById = new ConcurrentHashMap<>();

  TransactionRegistry(String vm) {
    this.vm = requireNonNull(vm, "vm");
  }

  /** Returns the name of the VM that holds a transaction. */
  static String vmOf(String id) throws RefusalException {
    int dot = id.lastIndexOf('.');
    if (dot <= 0) {
      throw new RefusalException(ResultCode.TRANSACTION_NOT_FOUND);
    }
    return id.substring(0, dot);
  }

  Transaction add(
      String customer,
      String database,
      WorkClass workClass,
      StatementRunner.BegunTransaction begun,
      @Nullable Claim claim,
      long deadlineMillis) {
    byte[] bytes = new byte[ID_BYTES];
    random.nextBytes(bytes);
    String id = vm + "." + HexFormat.of().formatHex(bytes);
    Transaction transaction =
        new Transaction(id, customer, database, workClass, begun, claim, deadlineMillis);
    transactionsById.put(id, transaction);
    return transaction;
  }

  /** Returns an open transaction of a customer. */
  Transaction find(String id, String customer) throws RefusalException {
    Transaction transaction = transactionsById.get(id);
    if (transaction == null || !transaction.customer.equals(customer)) {
      throw new RefusalException(ResultCode.TRANSACTION_NOT_FOUND);
    }
    return transaction;
  }

  void remove(Transaction transaction) {
    transactionsById.remove(transaction.id);
  }

  int size() {
    return transactionsById.size();
  }

  /** Aborts the transactions that have been open for too long. */
  void expire(long now) {
    for (Transaction transaction : transactionsById.values()) {
      boolean late = transaction.deadlineMillis <= now;
      if (late && transaction.lock.tryLock()) {
        try {
          remove(transaction);
          transaction.abort();
        } finally {
          transaction.lock.unlock();
        }
      }
    }
  }

  /** An open transaction. */
  static final class Transaction {

    private final String id;
    private final String customer;
    private final String database;
    private final WorkClass workClass;
    private final StatementRunner.BegunTransaction begun;
    private final @Nullable Claim claim;
    private final long deadlineMillis;
    private final ReentrantLock lock = new ReentrantLock();
    private boolean ended;

    private Transaction(
        String id,
        String customer,
        String database,
        WorkClass workClass,
        StatementRunner.BegunTransaction begun,
        @Nullable Claim claim,
        long deadlineMillis) {
      this.id = id;
      this.customer = customer;
      this.database = database;
      this.workClass = workClass;
      this.begun = begun;
      this.claim = claim;
      this.deadlineMillis = deadlineMillis;
    }

    String id() {
      return id;
    }

    String database() {
      return database;
    }

    WorkClass workClass() {
      return workClass;
    }

    StatementRunner.BegunTransaction begun() {
      return begun;
    }

    BackendAnswer beginAnswer() {
      return begun.answer();
    }

    @Nullable Claim claim() {
      return claim;
    }

    /** Excludes other statements of the transaction until {@link #unlock()}. */
    void lock() throws RefusalException {
      lock.lock();
      if (ended) {
        lock.unlock();
        throw new RefusalException(ResultCode.TRANSACTION_NOT_FOUND);
      }
    }

    void unlock() {
      lock.unlock();
    }

    /** Ends the transaction with a connection that can be used again. */
    void endReusable() {
      begun.pooled().markClean();
      end();
    }

    /** Ends the transaction by closing its connection, which rolls it back. */
    void abort() {
      end();
      if (claim != null) {
        claim.release();
      }
    }

    /** Ends the transaction by closing its connection when it may have been committed. */
    void endWithUnknownOutcome() {
      end();
    }

    private void end() {
      if (!ended) {
        ended = true;
        begun.pooled().close();
      }
    }
  }
}
