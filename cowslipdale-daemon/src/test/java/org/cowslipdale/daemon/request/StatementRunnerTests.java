package org.cowslipdale.daemon.request;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
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
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.connection.BackendPools;
import org.cowslipdale.daemon.connection.DatabaseConnector;
import org.cowslipdale.daemon.connection.ServerRef;
import org.cowslipdale.daemon.telemetry.Tracing;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests how requests are routed to a server, with an in-process server. */
class StatementRunnerTests {

  private static final long MAX_AGE_MILLIS = 800;
  private static final long WAIT_LIMIT_MILLIS = 900;

  /**
   * The maximum delay between the last check of a call and its arrival at the in-process server.
   */
  private static final long MAX_CALL_DELAY_MILLIS = 100;

  /** The age of the data of the server. */
  private static final long DATA_AGE_MILLIS = 300;

  private final VmClock clock = new VmClock();
  private final ViewHolder views = new ViewHolder(clock.millis());
  private final BackendRegistry registry = new BackendRegistry(60_000);
  private final ServerHealth health = new ServerHealth();
  private final SlowConnector connector = new SlowConnector();
  private final BackendPools pools =
      new BackendPools(connector, clock, new QueuePolicy.Fair(), 100, health);
  private final Tracing tracing = new Tracing(0);

  @AfterEach
  void close() {
    pools.close();
    tracing.close();
  }

  /**
   * Guards against reads of data that is too old. After the end of the lease the permitted age
   * decreases by the time since that end. If a connection takes long to open, the age that was
   * computed at routing is too high when the call is sent.
   */
  @Test
  void recomputesPermittedAgeAfterOpeningConnection() {
    views.publish(view(), clock.millis() - 100, 1, clock.millis());
    registry.addAnnouncement(replica(), 0, clock.millis());
    connector.connectMillis = 600;

    assertThrows(
        RefusalException.class,
        () -> runner().run(context(), read(), clock.millis() + WAIT_LIMIT_MILLIS));

    assertThat(List.copyOf(connector.excessAgesMillis), is(List.of()));
  }

  private StatementRunner runner() {
    Backends backends =
        new Backends(
            registry,
            health,
            new DefaultRouter("a", "r", new RoutingPolicy.NearestReplica(), pools),
            pools,
            connector,
            new RetryBudget());
    return new StatementRunner(
        views, backends, new Acknowledger(views, backends, clock), tracing, clock);
  }

  private static RequestContext context() {
    return new RequestContext("acme", SessionToken.empty("acme"), null, null);
  }

  private static WorkRequest read() {
    WorkClass reads =
        new WorkClass(
            "reads",
            true,
            true,
            new Freshness.BoundedAge(MAX_AGE_MILLIS),
            Acknowledgement.PRIMARY,
            WAIT_LIMIT_MILLIS,
            500);
    return new WorkRequest("bonds", reads, new StatementBody("READ a", null));
  }

  private static Announcement replica() {
    LogPosition position = new LogPosition(1, 7);
    return new Announcement(
        "bonds", "bonds-2", "b:2", "a", "r", ServerRole.REPLICA, position, 0, 5, 30, false, 1, 1);
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

  /**
   * Delays the opening of connections and records by how much calls exceed the permitted age, in
   * milliseconds.
   */
  private final class SlowConnector implements DatabaseConnector {

    private final Queue<Long> excessAgesMillis = new ConcurrentLinkedQueue<>();
    private volatile long connectMillis;

    @Override
    public BackendConnection connect(String address, long timeoutMillis) throws BackendException {
      try {
        Thread.sleep(connectMillis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new BackendException(false, e);
      }
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
          Operation operation, BackendCall call, long timeoutMillis, BooleanSupplier useless) {
        long permitted = MAX_AGE_MILLIS - views.get().lease().expiredForMillis(clock.millis());
        if (call.maxAgeMillis() > permitted + MAX_CALL_DELAY_MILLIS) {
          excessAgesMillis.add(call.maxAgeMillis() - permitted);
        }
        String declined = call.maxAgeMillis() < DATA_AGE_MILLIS ? BackendAnswer.TOO_OLD : null;
        return new BackendAnswer(call.call(), 1, 7, DATA_AGE_MILLIS, null, declined, null);
      }

      @Override
      public boolean isUsable() {
        return true;
      }

      @Override
      public void close() {
        // There are no resources to release.
      }
    }
  }
}
