package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
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
 * A caller's session: its values, prepared statements, open transaction and what it has committed.
 *
 * <p>A transaction begins on a server only with its first statement, so that a server that declines
 * can be replaced by another one without the caller noticing. All methods run on the session's
 * (virtual) thread.
 */
final class Session implements AutoCloseable {

  private final String routeName;
  private final @Nullable String key;
  private final SessionGate gate;
  private final SessionRunner runner;
  private final Map<String, String> values = new HashMap<>();
  private final Map<String, PreparedStatement> prepared = new HashMap<>();
  private LogPosition seen = LogPosition.ZERO;
  private @Nullable Transaction transaction;

  /** An open transaction; it has no connection before its first statement. */
  private static final class Transaction {

    private final Operation operation;
    private final Statement.Begin begin;
    private SessionRunner.@Nullable Begun begun;
    private boolean failed;
    private boolean idleTooLong;

    Transaction(Operation operation, Statement.Begin begin) {
      this.operation = operation;
      this.begin = begin;
    }

    void abort() {
      failed = true;
      if (begun != null) {
        begun.lease().close();
        begun = null;
      }
    }
  }

  Session(String routeName, @Nullable String key, SessionGate gate, SessionRunner runner) {
    this.routeName = requireNonNull(routeName, "routeName");
    this.key = key;
    this.gate = requireNonNull(gate, "gate");
    this.runner = requireNonNull(runner, "runner");
  }

  TransactionState state() {
    Transaction current = transaction;
    if (current == null) {
      return TransactionState.IDLE;
    }
    return current.failed ? TransactionState.FAILED : TransactionState.OPEN;
  }

  /** Runs a statement and returns its answer, whatever it is. */
  SessionReply execute(Statement statement, long receivedMillis) {
    try {
      Transaction current = transaction;
      return current == null
          ? outside(statement, receivedMillis)
          : inside(current, statement, receivedMillis);
    } catch (RefusalException e) {
      return SessionReply.refused(e, state());
    }
  }

  /** Aborts the open transaction, because it was idle for too long or the VM stops. */
  void abortTransaction() {
    Transaction current = transaction;
    if (current != null && !current.failed) {
      current.abort();
      current.idleTooLong = true;
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

  private SessionReply outside(Statement statement, long receivedMillis) throws RefusalException {
    return switch (statement) {
      case Statement.Begin begin -> {
        transaction = new Transaction(gate.admit(routeName, key, receivedMillis), begin);
        yield SessionReply.done(TransactionState.OPEN);
      }
      case Statement.Commit commit -> throw outOfTurn();
      case Statement.Rollback rollback -> throw outOfTurn();
      case Statement.Assign assign -> local(assign);
      case Statement.Prepare prepare -> local(prepare);
      case Statement.Deallocate deallocate -> local(deallocate);
      case Statement.Malformed unreadable -> throw unreadable(unreadable);
      case Statement.Access access -> single(access, null, receivedMillis);
      case Statement.Execute execute -> single(execute, lookUp(execute), receivedMillis);
    };
  }

  private SessionReply single(
      Statement statement, @Nullable PreparedStatement what, long receivedMillis)
      throws RefusalException {
    Operation operation = gate.admit(routeName, key, receivedMillis);
    SessionRunner.Job job = job(operation, statement, what, receivedMillis);
    ServerReply reply = runner.run(job);
    if (job.write()) {
      committed(reply);
    }
    return answer(reply);
  }

  private SessionReply inside(Transaction current, Statement statement, long receivedMillis)
      throws RefusalException {
    if (current.failed) {
      return insideFailed(current, statement);
    }
    return switch (statement) {
      case Statement.Begin begin -> {
        current.abort();
        throw outOfTurn();
      }
      case Statement.Malformed unreadable -> {
        current.abort();
        throw unreadable(unreadable);
      }
      case Statement.Rollback rollback -> rollBack(current, rollback);
      case Statement.Commit commit -> commit(current, commit, receivedMillis);
      case Statement.Prepare prepare -> local(prepare);
      case Statement.Deallocate deallocate -> local(deallocate);
      case Statement.Assign assign -> assignInside(current, assign);
      case Statement.Access access -> within(current, access, null, receivedMillis);
      case Statement.Execute execute ->
          within(current, execute, lookUpInside(current, execute), receivedMillis);
    };
  }

  /** Ending a failed transaction rolls it back; everything else is out of turn. */
  private SessionReply insideFailed(Transaction current, Statement statement)
      throws RefusalException {
    boolean tell = current.idleTooLong;
    current.idleTooLong = false;
    return switch (statement) {
      case Statement.Rollback rollback -> {
        transaction = null;
        yield SessionReply.done(TransactionState.IDLE);
      }
      case Statement.Commit commit -> {
        transaction = null;
        throw new RefusalException(ResultCode.TRANSACTION_ABORTED);
      }
      default -> throw tell ? new RefusalException(ResultCode.TRANSACTION_ABORTED) : outOfTurn();
    };
  }

  private SessionReply within(
      Transaction current,
      Statement statement,
      @Nullable PreparedStatement what,
      long receivedMillis)
      throws RefusalException {
    SessionRunner.Job job = job(current.operation, statement, what, receivedMillis);
    try {
      SessionRunner.Begun begun = begun(current, job);
      ServerReply reply = runner.runWithin(begun, job);
      ServerFailure failure = reply.failure();
      if (failure == null) {
        return answer(reply);
      }
      current.abort();
      throw refusalWithin(failure);
    } catch (BackendException e) {
      current.abort();
      throw new RefusalException(ResultCode.TRANSACTION_ABORTED);
    } catch (RefusalException e) {
      current.abort();
      throw e;
    }
  }

  /** Begins the transaction on a server, unless it has begun. */
  private SessionRunner.Begun begun(Transaction current, SessionRunner.Job job)
      throws RefusalException {
    gate.authorizeKey(current.operation, key);
    SessionRunner.Begun begun = current.begun;
    if (begun == null) {
      begun =
          runner.begin(
              new SessionRunner.Job(
                  current.operation, current.begin, null, values, seen, job.deadlineMillis()));
      current.begun = begun;
    }
    return begun;
  }

  /** Nothing of the transaction is kept, whatever the statement did, since it is rolled back. */
  private static RefusalException refusalWithin(ServerFailure failure) {
    return switch (failure) {
      case FAILED -> new RefusalException(ResultCode.STATEMENT_RUN_FAILED);
      case TIMED_OUT -> new RefusalException(ResultCode.STATEMENT_TIMED_OUT);
      case INVALID -> new RefusalException(ResultCode.BAD_REQUEST);
      default -> new RefusalException(ResultCode.TRANSACTION_ABORTED);
    };
  }

  private SessionReply commit(Transaction current, Statement.Commit commit, long receivedMillis)
      throws RefusalException {
    SessionRunner.Job job = job(current.operation, commit, null, receivedMillis);
    SessionRunner.Begun begun;
    try {
      begun = begun(current, job);
    } catch (RefusalException e) {
      close();
      throw e;
    }
    transaction = null;
    ServerReply reply;
    try {
      reply = runner.runWithin(begun, job);
    } catch (BackendException e) {
      begun.lease().close();
      throw new RefusalException(ResultCode.OUTCOME_UNKNOWN);
    } catch (RefusalException e) {
      begun.lease().close();
      throw new RefusalException(ResultCode.TRANSACTION_ABORTED);
    }
    if (reply.failure() == null && reply.state() == TransactionState.IDLE) {
      begun.lease().markClean();
    }
    begun.lease().close();
    if (reply.failure() != null) {
      throw reply.failure().mayHaveRun()
          ? new RefusalException(SessionRunner.refusal(reply.failure()))
          : new RefusalException(ResultCode.TRANSACTION_ABORTED);
    }
    committed(reply);
    return answer(reply);
  }

  private SessionReply rollBack(Transaction current, Statement.Rollback rollback) {
    transaction = null;
    SessionRunner.Begun begun = current.begun;
    if (begun != null) {
      runner.rollBack(begun, rollback);
    }
    return SessionReply.done(TransactionState.IDLE);
  }

  private SessionReply assignInside(Transaction current, Statement.Assign assign)
      throws RefusalException {
    SessionRunner.Begun begun = current.begun;
    if (begun != null) {
      long limit = current.operation.route().statementLimitMillis();
      try {
        begun.lease().session().assign(assign.name(), assign.value(), limit);
      } catch (BackendException e) {
        current.abort();
        throw new RefusalException(ResultCode.TRANSACTION_ABORTED);
      }
    }
    return local(assign);
  }

  private SessionReply local(Statement statement) throws RefusalException {
    switch (statement) {
      case Statement.Assign assign -> values.put(assign.name(), assign.value());
      case Statement.Prepare prepare -> prepared.put(prepare.name(), prepare.prepared());
      case Statement.Deallocate deallocate -> {
        if (prepared.remove(deallocate.name()) == null) {
          throw new RefusalException(ResultCode.STATEMENT_NOT_PREPARED);
        }
      }
      default -> throw new IllegalArgumentException("needs a server: " + statement);
    }
    return SessionReply.done(state());
  }

  private PreparedStatement lookUp(Statement.Execute execute) throws RefusalException {
    PreparedStatement known = prepared.get(execute.name());
    if (known == null) {
      throw new RefusalException(ResultCode.STATEMENT_NOT_PREPARED);
    }
    return known;
  }

  private PreparedStatement lookUpInside(Transaction current, Statement.Execute execute)
      throws RefusalException {
    try {
      return lookUp(execute);
    } catch (RefusalException e) {
      current.abort();
      throw e;
    }
  }

  private SessionRunner.Job job(
      Operation operation,
      Statement statement,
      @Nullable PreparedStatement what,
      long receivedMillis) {
    long deadline = receivedMillis + operation.route().statementLimitMillis();
    return new SessionRunner.Job(operation, statement, what, values, seen, deadline);
  }

  private void committed(ServerReply reply) {
    if (reply.position() != null) {
      seen = seen.max(reply.position());
    }
  }

  private SessionReply answer(ServerReply reply) {
    return new SessionReply(reply.rows(), reply.signature(), null, state(), reply.position());
  }

  private static RefusalException unreadable(Statement.Malformed statement) {
    return new RefusalException(ResultCode.BAD_REQUEST, statement.reason());
  }

  private static RefusalException outOfTurn() {
    return new RefusalException(ResultCode.BAD_REQUEST, "The statement is out of turn.");
  }
}
