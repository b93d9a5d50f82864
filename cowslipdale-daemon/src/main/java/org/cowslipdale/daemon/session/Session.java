package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import org.cowslipdale.core.result.Outcome;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.ServerFailure;
import org.cowslipdale.core.statement.ServerReply;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.statement.Statement.PreparedStatement;
import org.cowslipdale.core.statement.TransactionState;
import org.cowslipdale.daemon.connection.BackendException;
import org.jspecify.annotations.Nullable;

/**
 * A caller's session: its values, prepared statements, open transaction and the log position of its
 * latest commit.
 *
 * <p>A transaction begins on a server only with its first statement. Until then it can still move
 * to another server if one rejects it, without the caller noticing. All methods run on the
 * session's (virtual) thread.
 */
final class Session implements AutoCloseable {

  private final String routeName;
  private final @Nullable String key;
  private final SessionAdmission admission;
  private final SessionRunner runner;
  private final Map<String, String> values = new HashMap<>();
  private final Map<String, PreparedStatement> prepared = new HashMap<>();
  private LogPosition lastCommittedPosition = LogPosition.ZERO;
  private @Nullable Transaction transaction;

  /**
   * An open or failed transaction; it has no connection before its first statement and after a
   * failure.
   */
  private static final class Transaction {

    private final AdmittedOperation operation;
    private final Statement.Begin begin;
    private SessionRunner.@Nullable BegunTransaction begunTransaction;
    private boolean failed;
    private boolean abortUnreported;

    Transaction(AdmittedOperation operation, Statement.Begin begin) {
      this.operation = operation;
      this.begin = begin;
    }

    void abort() {
      failed = true;
      if (begunTransaction != null) {
        begunTransaction.checkout().close();
        begunTransaction = null;
      }
    }
  }

  Session(
      String routeName, @Nullable String key, SessionAdmission admission, SessionRunner runner) {
    this.routeName = requireNonNull(routeName, "routeName");
    this.key = key;
    this.admission = requireNonNull(admission, "admission");
    this.runner = requireNonNull(runner, "runner");
  }

  TransactionState state() {
    Transaction current = transaction;
    if (current == null) {
      return TransactionState.IDLE;
    }
    return current.failed ? TransactionState.FAILED : TransactionState.OPEN;
  }

  /** Executes a statement and returns its reply, which reports a refusal if it did not complete. */
  SessionReply execute(Statement statement, long receivedMillis) {
    try {
      Transaction current = transaction;
      return current == null
          ? executeOutsideTransaction(statement, receivedMillis)
          : executeInTransaction(current, statement, receivedMillis);
    } catch (RefusalException e) {
      return SessionReply.refused(e, state());
    }
  }

  /**
   * Aborts the open transaction because it exceeded the idle limit or the VM is shutting down. The
   * next statement reports that to the caller, unless it is a rollback.
   */
  void abortTransaction() {
    Transaction current = transaction;
    if (current != null && !current.failed) {
      current.abort();
      current.abortUnreported = true;
    }
  }

  /** Aborts the open transaction because a statement of it was refused, which the caller knows. */
  void failTransaction() {
    Transaction current = transaction;
    if (current != null) {
      current.abort();
    }
  }

  @Override
  public void close() {
    Transaction current = transaction;
    if (current != null) {
      current.abort();
      transaction = null;
    }
  }

  private SessionReply executeOutsideTransaction(Statement statement, long receivedMillis)
      throws RefusalException {
    return switch (statement) {
      case Statement.Begin begin -> {
        transaction = new Transaction(admission.admit(routeName, key, receivedMillis), begin);
        yield SessionReply.completed(TransactionState.OPEN);
      }
      case Statement.Commit commit -> throw notAllowedInState();
      case Statement.Rollback rollback -> throw notAllowedInState();
      case Statement.Assign assign -> executeLocally(assign);
      case Statement.Prepare prepare -> executeLocally(prepare);
      case Statement.Deallocate deallocate -> executeLocally(deallocate);
      case Statement.Malformed unreadable -> throw unreadableStatement(unreadable);
      case Statement.Access access -> forwardSingle(access, null, receivedMillis);
      case Statement.Execute execute ->
          forwardSingle(execute, findPrepared(execute), receivedMillis);
    };
  }

  private SessionReply forwardSingle(
      Statement statement, @Nullable PreparedStatement preparedStatement, long receivedMillis)
      throws RefusalException {
    AdmittedOperation operation = admission.admit(routeName, key, receivedMillis);
    SessionRunner.StatementRequest request =
        createRequest(operation, statement, preparedStatement, receivedMillis);
    ServerReply reply = runner.run(request);
    if (request.isWrite()) {
      recordCommit(reply);
    }
    return toSessionReply(reply);
  }

  private SessionReply executeInTransaction(
      Transaction current, Statement statement, long receivedMillis) throws RefusalException {
    if (current.failed) {
      return executeInFailedTransaction(current, statement);
    }
    return switch (statement) {
      case Statement.Begin begin -> {
        current.abort();
        throw notAllowedInState();
      }
      case Statement.Malformed unreadable -> {
        current.abort();
        throw unreadableStatement(unreadable);
      }
      case Statement.Rollback rollback -> rollBack(current, rollback);
      case Statement.Commit commit -> commit(current, commit, receivedMillis);
      case Statement.Prepare prepare -> executeLocally(prepare);
      case Statement.Deallocate deallocate -> executeLocally(deallocate);
      case Statement.Assign assign -> assignInTransaction(current, assign);
      case Statement.Access access -> forwardInTransaction(current, access, null, receivedMillis);
      case Statement.Execute execute ->
          forwardInTransaction(
              current, execute, findPreparedInTransaction(current, execute), receivedMillis);
    };
  }

  /**
   * Executes a statement in a failed transaction. A commit or a rollback ends the transaction; any
   * other statement is refused.
   */
  private SessionReply executeInFailedTransaction(Transaction current, Statement statement)
      throws RefusalException {
    boolean abortUnreported = current.abortUnreported;
    current.abortUnreported = false;
    return switch (statement) {
      case Statement.Rollback rollback -> {
        transaction = null;
        yield SessionReply.completed(TransactionState.IDLE);
      }
      case Statement.Commit commit -> {
        transaction = null;
        throw new RefusalException(ResultCode.TRANSACTION_ABORTED);
      }
      default ->
          throw abortUnreported
              ? new RefusalException(ResultCode.TRANSACTION_ABORTED)
              : notAllowedInState();
    };
  }

  private SessionReply forwardInTransaction(
      Transaction current,
      Statement statement,
      @Nullable PreparedStatement preparedStatement,
      long receivedMillis)
      throws RefusalException {
    SessionRunner.StatementRequest request =
        createRequest(current.operation, statement, preparedStatement, receivedMillis);
    try {
      SessionRunner.BegunTransaction begunTransaction = beginIfNeeded(current, request);
      ServerReply reply = runner.runInTransaction(begunTransaction, request);
      ServerFailure failure = reply.failure();
      if (failure == null) {
        return toSessionReply(reply);
      }
      current.abort();
      throw toTransactionRefusal(failure);
    } catch (BackendException e) {
      current.abort();
      throw new RefusalException(ResultCode.TRANSACTION_ABORTED);
    } catch (RefusalException e) {
      current.abort();
      throw e;
    }
  }

  /** Begins the transaction on a server unless it has already begun there. */
  private SessionRunner.BegunTransaction beginIfNeeded(
      Transaction current, SessionRunner.StatementRequest request) throws RefusalException {
    admission.authorizeKey(current.operation, key);
    SessionRunner.BegunTransaction begunTransaction = current.begunTransaction;
    if (begunTransaction == null) {
      begunTransaction =
          runner.begin(
              new SessionRunner.StatementRequest(
                  current.operation,
                  current.begin,
                  null,
                  values,
                  lastCommittedPosition,
                  request.deadlineMillis()));
      current.begunTransaction = begunTransaction;
    }
    return begunTransaction;
  }

  /**
   * Returns the refusal for a statement that failed in a transaction. No outcome is unknown,
   * because the whole transaction is rolled back.
   */
  private static RefusalException toTransactionRefusal(ServerFailure failure) {
    return switch (failure) {
      case FAILED -> new RefusalException(ResultCode.STATEMENT_RUN_FAILED);
      case TIMED_OUT -> new RefusalException(ResultCode.STATEMENT_TIMED_OUT);
      case INVALID -> new RefusalException(ResultCode.BAD_REQUEST);
      default -> new RefusalException(ResultCode.TRANSACTION_ABORTED);
    };
  }

  private SessionReply commit(Transaction current, Statement.Commit commit, long receivedMillis)
      throws RefusalException {
    SessionRunner.StatementRequest request =
        createRequest(current.operation, commit, null, receivedMillis);
    SessionRunner.BegunTransaction begunTransaction;
    try {
      begunTransaction = beginIfNeeded(current, request);
    } catch (RefusalException e) {
      close();
      throw e;
    }
    transaction = null;
    ServerReply reply;
    try {
      reply = runner.runInTransaction(begunTransaction, request);
    } catch (BackendException e) {
      begunTransaction.checkout().close();
      boolean notSent = e instanceof RelayException && !e.mayHaveReachedServer();
      throw new RefusalException(
          notSent ? ResultCode.TRANSACTION_ABORTED : ResultCode.OUTCOME_UNKNOWN);
    } catch (RefusalException e) {
      begunTransaction.checkout().close();
      throw e.code().outcome() == Outcome.UNKNOWN
          ? e
          : new RefusalException(ResultCode.TRANSACTION_ABORTED);
    }
    if (reply.failure() == null && reply.state() == TransactionState.IDLE) {
      begunTransaction.checkout().markClean();
    }
    begunTransaction.checkout().close();
    if (reply.failure() != null) {
      throw reply.failure().mayHaveRun()
          ? new RefusalException(SessionRunner.toResultCode(reply.failure()))
          : new RefusalException(ResultCode.TRANSACTION_ABORTED);
    }
    recordCommit(reply);
    return toSessionReply(reply);
  }

  private SessionReply rollBack(Transaction current, Statement.Rollback rollback) {
    transaction = null;
    SessionRunner.BegunTransaction begunTransaction = current.begunTransaction;
    if (begunTransaction != null) {
      runner.rollBack(begunTransaction, rollback);
    }
    return SessionReply.completed(TransactionState.IDLE);
  }

  private SessionReply assignInTransaction(Transaction current, Statement.Assign assign)
      throws RefusalException {
    SessionRunner.BegunTransaction begunTransaction = current.begunTransaction;
    if (begunTransaction != null) {
      long limit = current.operation.route().statementLimitMillis();
      try {
        begunTransaction.checkout().assign(assign.name(), assign.value(), limit);
      } catch (BackendException e) {
        current.abort();
        throw new RefusalException(ResultCode.TRANSACTION_ABORTED);
      }
    }
    return executeLocally(assign);
  }

  private SessionReply executeLocally(Statement statement) throws RefusalException {
    switch (statement) {
      case Statement.Assign assign -> values.put(assign.name(), assign.value());
      case Statement.Prepare prepare -> prepared.put(prepare.name(), prepare.prepared());
      case Statement.Deallocate deallocate -> {
        if (prepared.remove(deallocate.name()) == null) {
          throw new RefusalException(ResultCode.STATEMENT_NOT_PREPARED);
        }
      }
      default -> throw new IllegalArgumentException("Statement requires a server: " + statement);
    }
    return SessionReply.completed(state());
  }

  private PreparedStatement findPrepared(Statement.Execute execute) throws RefusalException {
    PreparedStatement statement = prepared.get(execute.name());
    if (statement == null) {
      throw new RefusalException(ResultCode.STATEMENT_NOT_PREPARED);
    }
    return statement;
  }

  private PreparedStatement findPreparedInTransaction(
      Transaction current, Statement.Execute execute) throws RefusalException {
    try {
      return findPrepared(execute);
    } catch (RefusalException e) {
      current.abort();
      throw e;
    }
  }

  private SessionRunner.StatementRequest createRequest(
      AdmittedOperation operation,
      Statement statement,
      @Nullable PreparedStatement preparedStatement,
      long receivedMillis) {
    long deadline = receivedMillis + operation.route().statementLimitMillis();
    return new SessionRunner.StatementRequest(
        operation, statement, preparedStatement, values, lastCommittedPosition, deadline);
  }

  private void recordCommit(ServerReply reply) {
    if (reply.position() != null) {
      lastCommittedPosition = lastCommittedPosition.max(reply.position());
    }
  }

  private SessionReply toSessionReply(ServerReply reply) {
    return new SessionReply(reply.rows(), reply.signature(), null, state(), reply.position());
  }

  private static RefusalException unreadableStatement(Statement.Malformed statement) {
    return new RefusalException(ResultCode.BAD_REQUEST, statement.reason());
  }

  private static RefusalException notAllowedInState() {
    return new RefusalException(
        ResultCode.BAD_REQUEST, "The statement is not allowed in the current transaction state.");
  }
}
