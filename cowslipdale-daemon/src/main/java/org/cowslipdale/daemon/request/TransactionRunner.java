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

  private static final String COMMITTED = "{\"code\":0,\"result\":null}";
  private static final StatementBody NO_STATEMENT = new StatementBody(null, null);

  private final TransactionRegistry transactions;
  private final StatementRunner statements;
  private final Acknowledger acknowledger;
  private final VmClock clock;
  private final long transactionMillis;

  TransactionRunner(
      TransactionRegistry transactions,
      StatementRunner statements,
      Acknowledger acknowledger,
      VmClock clock,
      long transactionMillis) {
    this.transactions = requireNonNull(transactions, "transactions");
    this.statements = requireNonNull(statements, "statements");
    this.acknowledger = requireNonNull(acknowledger, "acknowledger");
    this.clock = requireNonNull(clock, "clock");
    this.transactionMillis = transactionMillis;
  }

  /** Begins a transaction and returns its id as the result. */
  Answer begin(Caller caller, Work work, @Nullable Claim claim, long deadlineMillis)
      throws RefusalException {
    StatementRunner.Begun begun = statements.begin(caller, work, deadlineMillis);
    Transaction transaction =
        transactions.add(
            caller.customer(),
            work.database(),
            work.workClass(),
            begun,
            claim,
            clock.millis() + transactionMillis);
    return answer(caller, transaction, begun.answer(), new TextNode(transaction.id()));
  }

  /** Runs a statement within a transaction. */
  Answer statement(Caller caller, String id, StatementBody body) throws RefusalException {
    Transaction transaction = transactions.find(id, caller.customer());
    transaction.enter();
    try {
      BackendAnswer answer = call(transaction, Operation.STATEMENT, body);
      if (answer.error() != null) {
        throw new RefusalException(ResultCode.STATEMENT_FAILED, answer.error());
      }
      return answer(caller, transaction, answer, resultOf(answer));
    } catch (BackendException e) {
      transactions.remove(transaction);
      transaction.abort();
      throw new RefusalException(ResultCode.TRANSACTION_ABORTED);
    } finally {
      transaction.leave();
    }
  }

  /** Commits a transaction. */
  Answer commit(Caller caller, String id) throws RefusalException {
    Transaction transaction = transactions.find(id, caller.customer());
    transaction.enter();
    try {
      transactions.remove(transaction);
      return commit(caller, transaction);
    } finally {
      transaction.leave();
    }
  }

  /** Rolls a transaction back. */
  Answer rollback(Caller caller, String id) throws RefusalException {
    Transaction transaction = transactions.find(id, caller.customer());
    transaction.enter();
    try {
      transactions.remove(transaction);
      BackendAnswer answer = call(transaction, Operation.ROLLBACK, NO_STATEMENT);
      transaction.begun().pooled().markClean();
      transaction.abort();
      return answer(caller, transaction, answer, NullNode.instance);
    } catch (BackendException e) {
      transaction.abort();
      return answer(caller, transaction, transaction.beginAnswer(), NullNode.instance);
    } finally {
      transaction.leave();
    }
  }

  private Answer commit(Caller caller, Transaction transaction) throws RefusalException {
    String server = transaction.begun().server().server().name();
    boolean write = !transaction.workClass().readOnly();
    if (write
        && !acknowledger.isCurrentPrimary(
            transaction.database(), server, transaction.begun().server().term())) {
      transaction.abort();
      throw new RefusalException(ResultCode.TRANSACTION_ABORTED);
    }
    BackendAnswer answer;
    try {
      answer = call(transaction, Operation.COMMIT, NO_STATEMENT);
    } catch (BackendException e) {
      transaction.endUnknown();
      throw new RefusalException(ResultCode.OUTCOME_UNKNOWN);
    }
    if (answer.error() != null) {
      transaction.abort();
      throw new RefusalException(ResultCode.TRANSACTION_ABORTED, answer.error());
    }
    transaction.endClean();
    if (write) {
      acknowledger.acknowledge(transaction.database(), transaction.workClass(), server, answer);
    }
    Claim claim = transaction.claim();
    if (claim != null) {
      claim.complete(COMMITTED);
    }
    return answer(caller, transaction, answer, NullNode.instance);
  }

  private static BackendAnswer call(
      Transaction transaction, Operation operation, StatementBody body) throws BackendException {
    StatementRunner.Begun begun = transaction.begun();
    BackendCall call =
        new BackendCall(
            UUID.randomUUID().toString(),
            begun.server().term(),
            begun.server().conditions().asPrimary(),
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

  private static Answer answer(
      Caller caller, Transaction transaction, BackendAnswer answer, JsonNode result) {
    LogPosition position = new LogPosition(answer.term(), answer.offset());
    SessionToken session = caller.session().advance(transaction.database(), position);
    return new Answer(result, transaction.begun().server().server().name(), session);
  }
}
