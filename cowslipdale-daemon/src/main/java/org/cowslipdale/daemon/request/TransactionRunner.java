package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.UUID;
import org.cowslipdale.config.protocol.BackendAnswer;
import org.cowslipdale.config.protocol.BackendCall;
import org.cowslipdale.config.protocol.StatementBody;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.session.SessionToken;
import org.cowslipdale.daemon.connection.BackendConnection.Operation;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.request.RequestClaims.Claim;
import org.cowslipdale.daemon.request.TransactionRegistry.Transaction;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/** Runs the steps of transactions that this VM holds. */
final class TransactionRunner {

  private static final String COMMITTED_ANSWER = "{\"code\":0,\"result\":null}";
  private static final StatementBody NO_STATEMENT = new StatementBody(null, null);

  private final TransactionRegistry transactions;
  private final StatementRunner statements;
  private final Acknowledger acknowledger;
  private final VmClock clock;
  private final long maxTransactionMillis;

  TransactionRunner(
      TransactionRegistry transactions,
      StatementRunner statements,
      Acknowledger acknowledger,
      VmClock clock,
      long maxTransactionMillis) {
    this.transactions = requireNonNull(transactions, "transactions");
    this.statements = requireNonNull(statements, "statements");
    this.acknowledger = requireNonNull(acknowledger, "acknowledger");
    this.clock = requireNonNull(clock, "clock");
    this.maxTransactionMillis = maxTransactionMillis;
  }

  /** Begins a transaction. The result is the transaction id. */
  RequestResult begin(
      RequestContext context, WorkRequest work, @Nullable Claim claim, long deadlineMillis)
      throws RefusalException {
    StatementRunner.BegunTransaction begun = statements.begin(context, work, deadlineMillis);
    Transaction transaction =
        transactions.add(
            context.customer(),
            work.database(),
            work.workClass(),
            begun,
            claim,
            clock.millis() + maxTransactionMillis);
    return createResult(context, transaction, begun.answer(), new TextNode(transaction.id()));
  }

  /** Runs a statement in a transaction. */
  RequestResult runStatement(RequestContext context, String id, StatementBody body)
      throws RefusalException {
    Transaction transaction = transactions.find(id, context.customer());
    transaction.lock();
    try {
      BackendAnswer answer = call(transaction, Operation.STATEMENT, body);
      if (answer.declined() != null) {
        throw abort(transaction);
      }
      if (answer.error() != null) {
        throw new RefusalException(ResultCode.STATEMENT_FAILED, answer.error());
      }
      return createResult(context, transaction, answer, resultOf(answer));
    } catch (BackendException e) {
      throw abort(transaction);
    } finally {
      transaction.unlock();
    }
  }

  /** Commits a transaction. */
  RequestResult commit(RequestContext context, String id) throws RefusalException {
    Transaction transaction = transactions.find(id, context.customer());
    transaction.lock();
    try {
      transactions.remove(transaction);
      return commit(context, transaction);
    } finally {
      transaction.unlock();
    }
  }

  /** Rolls back a transaction. */
  RequestResult rollback(RequestContext context, String id) throws RefusalException {
    Transaction transaction = transactions.find(id, context.customer());
    transaction.lock();
    try {
      transactions.remove(transaction);
      BackendAnswer answer = call(transaction, Operation.ROLLBACK, NO_STATEMENT);
      if (answer.declined() == null && answer.error() == null) {
        transaction.begun().pooled().markClean();
      }
      transaction.abort();
      return createResult(context, transaction, answer, NullNode.instance);
    } catch (BackendException e) {
      transaction.abort();
      return createResult(context, transaction, transaction.beginAnswer(), NullNode.instance);
    } finally {
      transaction.unlock();
    }
  }

  private RequestResult commit(RequestContext context, Transaction transaction)
      throws RefusalException {
    String server = transaction.begun().target().server().name();
    boolean write = !transaction.workClass().readOnly();
    if (write
        && !acknowledger.isCurrentPrimary(
            transaction.database(), server, transaction.begun().target().term())) {
      transaction.abort();
      throw new RefusalException(ResultCode.TRANSACTION_ABORTED);
    }
    BackendAnswer answer;
    try {
      answer = call(transaction, Operation.COMMIT, NO_STATEMENT);
    } catch (BackendException e) {
      transaction.endWithUnknownOutcome();
      throw new RefusalException(ResultCode.OUTCOME_UNKNOWN);
    }
    if (answer.declined() != null) {
      throw abort(transaction);
    }
    if (answer.error() != null) {
      transaction.abort();
      throw new RefusalException(ResultCode.TRANSACTION_ABORTED, answer.error());
    }
    transaction.endReusable();
    if (write) {
      acknowledger.acknowledge(transaction.database(), transaction.workClass(), server, answer);
    }
    Claim claim = transaction.claim();
    if (claim != null) {
      claim.complete(COMMITTED_ANSWER);
    }
    return createResult(context, transaction, answer, NullNode.instance);
  }

  /**
   * Aborts a transaction whose server did not run a step. A server declines the steps of a
   * transaction that it no longer has, for example after it was replaced as primary.
   */
  private RefusalException abort(Transaction transaction) {
    transactions.remove(transaction);
    transaction.abort();
    return new RefusalException(ResultCode.TRANSACTION_ABORTED);
  }

  private static BackendAnswer call(
      Transaction transaction, Operation operation, StatementBody body) throws BackendException {
    StatementRunner.BegunTransaction begun = transaction.begun();
    BackendCall call =
        new BackendCall(
            UUID.randomUUID().toString(),
            begun.target().term(),
            begun.target().conditions().asPrimary(),
            0,
            0,
            Long.MAX_VALUE,
            !transaction.workClass().readOnly(),
            body.statement(),
            body.parameters());
    return begun
        .pooled()
        .connection()
        .call(operation, call, transaction.workClass().runLimitMillis(), () -> false);
  }

  private static JsonNode resultOf(BackendAnswer answer) {
    JsonNode result = answer.result();
    return result == null ? NullNode.instance : result;
  }

  private static RequestResult createResult(
      RequestContext context, Transaction transaction, BackendAnswer answer, JsonNode result) {
    LogPosition position = new LogPosition(answer.term(), answer.offset());
    SessionToken session = context.session().advance(transaction.database(), position);
    return new RequestResult(result, transaction.begun().target().server().name(), session);
  }
}
