package org.cowslipdale.daemon.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.TextNode;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.cowslipdale.config.protocol.BackendAnswer;
import org.cowslipdale.config.protocol.BackendCall;
import org.cowslipdale.config.protocol.PromotionCall;
import org.cowslipdale.config.protocol.ServerStatus;
import org.cowslipdale.config.protocol.StatementBody;
import org.cowslipdale.core.admission.QueuePolicy;
import org.cowslipdale.core.admission.RetryBudget;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerHealth;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.DefaultRouter;
import org.cowslipdale.core.routing.RoutingPolicy;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.session.SessionToken;
import org.cowslipdale.core.view.Acknowledgement;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.DeclaredDocument;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.WorkClass;
import org.cowslipdale.daemon.connection.BackendConnection;
import org.cowslipdale.daemon.connection.BackendConnection.Operation;
import org.cowslipdale.daemon.connection.BackendPools;
import org.cowslipdale.daemon.connection.DatabaseConnector;
import org.cowslipdale.daemon.connection.ServerRef;
import org.cowslipdale.daemon.telemetry.Tracing;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the answers to the steps of a transaction, with an in-process server. */
class TransactionRunnerTests {

  private static final long LEASE_MILLIS = 60_000;
  private static final long WAIT_LIMIT_MILLIS = 200;
  private static final StatementBody WRITE = new StatementBody("put a 1", null);

  private final VmClock clock = new VmClock();
  private final ViewHolder views = new ViewHolder(clock.millis());
  private final BackendRegistry registry = new BackendRegistry(LEASE_MILLIS);
  private final ServerHealth health = new ServerHealth();
  private final ScriptedServer server = new ScriptedServer();
  private final BackendPools pools =
      new BackendPools(server, clock, new QueuePolicy.Fair(), 100, health);
  private final Tracing tracing = new Tracing(0);
  private final TransactionRegistry transactions = new TransactionRegistry("vm1");
  private TransactionRunner runner;

  @BeforeEach
  void createRunner() {
    views.publish(view(), clock.millis() + LEASE_MILLIS, 1, clock.millis());
    registry.addAnnouncement(primary(), 0, clock.millis());
    Backends backends =
        new Backends(
            registry,
            health,
            new DefaultRouter("a", "r", new RoutingPolicy.NearestReplica(), pools),
            pools,
            server,
            new RetryBudget());
    Acknowledger acknowledger = new Acknowledger(views, backends, clock);
    runner =
        new TransactionRunner(
            transactions,
            new StatementRunner(views, backends, acknowledger, tracing, clock),
            acknowledger,
            clock,
            LEASE_MILLIS);
  }

  @AfterEach
  void close() {
    pools.close();
    tracing.close();
  }

  /**
   * Guards against a statement or commit that is answered as done though the server did not run it:
   * a server that was replaced has dropped the transaction and declines its further calls.
   */
  @ParameterizedTest
  @EnumSource(
      value = Operation.class,
      names = {"STATEMENT", "COMMIT"})
  void declinedStepAbortsTransaction(Operation declined) throws Exception {
    String id = begin();
    server.answers.put(declined, answer(null, BackendAnswer.WRONG_TERM, null));

    RefusalException refusal = assertThrows(RefusalException.class, () -> run(declined, id));

    assertThat(refusal.code(), is(ResultCode.TRANSACTION_ABORTED));
    assertThat(transactions.size(), is(0));
    assertThat(server.closedConnections.get(), is(1));
  }

  /** Guards against a connection that is reused although its transaction may still be open. */
  @Test
  void declinedRollbackClosesConnection() throws Exception {
    String id = begin();
    server.answers.put(Operation.ROLLBACK, answer(null, BackendAnswer.WRONG_TERM, null));

    run(Operation.ROLLBACK, id);

    assertThat(transactions.size(), is(0));
    assertThat(server.closedConnections.get(), is(1));
  }

  /** Guards against a transaction that counts as begun though its server rejected the begin. */
  @Test
  void failedBeginIsRefused() {
    server.answers.put(Operation.BEGIN, answer(null, null, "too many transactions"));

    RefusalException refusal = assertThrows(RefusalException.class, this::begin);

    assertThat(refusal.code(), is(ResultCode.STATEMENT_FAILED));
    assertThat(transactions.size(), is(0));
    assertThat(server.closedConnections.get(), is(1));
  }

  private String begin() throws RefusalException {
    WorkRequest work = new WorkRequest("bonds", workClass(), new StatementBody(null, null));
    return runner
        .begin(context(), work, null, clock.millis() + WAIT_LIMIT_MILLIS)
        .result()
        .asText();
  }

  private void run(Operation operation, String id) throws RefusalException {
    switch (operation) {
      case STATEMENT -> runner.runStatement(context(), id, WRITE);
      case COMMIT -> runner.commit(context(), id);
      case ROLLBACK -> runner.rollback(context(), id);
      case BEGIN -> throw new IllegalArgumentException("a transaction is begun only once");
    }
  }

  private static RequestContext context() {
    return new RequestContext("acme", SessionToken.empty("acme"), null, null);
  }

  private static WorkClass workClass() {
    return new WorkClass(
        "saves",
        false,
        true,
        new Freshness.Latest(),
        Acknowledgement.PRIMARY,
        WAIT_LIMIT_MILLIS,
        500);
  }

  private static Announcement primary() {
    LogPosition position = new LogPosition(1, 7);
    return new Announcement(
        "bonds", "bonds-1", "b:1", "a", "r", ServerRole.PRIMARY, position, 0, 5, 30, false, 1, 1);
  }

  private static View view() {
    Configuration configuration =
        new Configuration(
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of("bonds", new Database("bonds", 2, 30, 0)),
            Map.of(),
            30_000);
    return View.EMPTY
        .apply(
            new ViewCommand.ReplaceConfiguration(
                new DeclaredDocument(1, "{}"), configuration, List.of()))
        .view()
        .apply(new ViewCommand.BeginTerm("bonds", 1))
        .view()
        .apply(new ViewCommand.CompleteTerm("bonds", 1, "bonds-1", 0))
        .view();
  }

  private static BackendAnswer answer(String result, String declined, String error) {
    return new BackendAnswer(
        "call", 1, 7, 0, result == null ? null : new TextNode(result), declined, error);
  }

  /** Answers each operation as scripted, by default with success. */
  private static final class ScriptedServer implements DatabaseConnector {

    private final Map<Operation, BackendAnswer> answers = new EnumMap<>(Operation.class);
    private final AtomicInteger closedConnections = new AtomicInteger();

    @Override
    public BackendConnection connect(String address, long timeoutMillis) {
      return new Connection();
    }

    @Override
    public ServerStatus promote(String address, PromotionCall promotion, long timeoutMillis) {
      throw new UnsupportedOperationException();
    }

    @Override
    public ServerStatus awaitOffset(String address, long offset, long timeoutMillis) {
      throw new UnsupportedOperationException();
    }

    @Override
    public ServerStatus status(ServerRef server, long timeoutMillis) {
      throw new UnsupportedOperationException();
    }

    private final class Connection implements BackendConnection {

      @Override
      public BackendAnswer call(
          Operation operation, BackendCall call, long timeoutMillis, BooleanSupplier cancelled) {
        return answers.getOrDefault(operation, answer("done", null, null));
      }

      @Override
      public boolean isUsable() {
        return true;
      }

      @Override
      public void close() {
        closedConnections.incrementAndGet();
      }
    }
  }
}
