package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cowslipdale.config.protocol.PromotionCall;
import org.cowslipdale.config.protocol.ServerStatus;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.failover.FailoverAction.AssignRole;
import org.cowslipdale.core.failover.FailoverAction.QueryPosition;
import org.cowslipdale.core.failover.FailoverAction.RequestPromotion;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.connection.DatabaseConnector;
import org.cowslipdale.daemon.connection.PromotionService;
import org.cowslipdale.daemon.connection.ServerRef;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes the actions of a failover coordinator and passes the answers to listeners.
 *
 * <p>Requests run asynchronously. Listeners are called on the control thread; a failed request is
 * only logged.
 */
final class FailoverExecutor {

  private static final Logger LOG = LoggerFactory.getLogger(FailoverExecutor.class);
  private static final long ORDER_TIMEOUT_MILLIS = 1_000;
  private static final long QUERY_TIMEOUT_MILLIS = 600;

  private final String leaseHolder;
  private final BackendAccess access;
  private final ControlThread control;

  FailoverExecutor(String leaseHolder, BackendAccess access, ControlThread control) {
    this.leaseHolder = requireNonNull(leaseHolder, "leaseHolder");
    this.access = requireNonNull(access, "access");
    this.control = requireNonNull(control, "control");
  }

  /** Receives the log position of a server, on the control thread. */
  interface PositionListener {

    void positionReceived(QueryPosition query, LogPosition position);
  }

  /** Receives the answer of the promotion service, on the control thread. */
  interface PromotionListener {

    void promotionAnswered(RequestPromotion promotion, PromotionService.Answer answer);
  }

  /**
   * Queries the log position of a server. If servers are accessed directly, a query with a minimum
   * offset waits until the server has reached it, within the wait limit of the query.
   */
  void queryPosition(QueryPosition query, PositionListener listener) {
    Thread.startVirtualThread(
        () -> {
          try {
            ServerStatus status = fetchStatus(query);
            LogPosition position = new LogPosition(status.term(), status.offset());
            control.execute(() -> listener.positionReceived(query, position));
          } catch (BackendException e) {
            LOG.info(
                "Failed to query the position of server {}: {}", query.server(), e.getMessage());
          }
        });
  }

  /**
   * Orders a server to become the primary or to follow another one.
   *
   * @param order the order
   * @param promoted receives the status of a server that confirmed its promotion, on the control
   *     thread
   * @throws IllegalStateException if an external service performs promotions
   */
  void sendOrder(AssignRole order, Consumer<ServerStatus> promoted) {
    if (!(access instanceof BackendAccess.Direct direct)) {
      throw new IllegalStateException(
          "Servers cannot be promoted directly: an external promotion service is in use");
    }
    DatabaseConnector connector = direct.connector();
    Thread.startVirtualThread(
        () -> {
          try {
            ServerStatus status =
                connector.promote(
                    order.address(),
                    new PromotionCall(order.term(), order.primary()),
                    ORDER_TIMEOUT_MILLIS);
            boolean confirmed =
                order.primary() == null
                    && status.role() == ServerRole.PRIMARY
                    && status.term() == order.term();
            if (confirmed) {
              control.execute(() -> promoted.accept(status));
            }
          } catch (BackendException e) {
            LOG.info("Server {} did not execute an order: {}", order.server(), e.getMessage());
          }
        });
  }

  /**
   * Requests a promotion from the external service.
   *
   * @param promotion the promotion
   * @param mayRequest evaluated right before the request is sent, which happens only if it is true
   * @param listener receives the answer, if one arrives
   * @throws IllegalStateException if servers are promoted directly
   */
  void promote(RequestPromotion promotion, BooleanSupplier mayRequest, PromotionListener listener) {
    if (!(access instanceof BackendAccess.External external)) {
      throw new IllegalStateException("No external promotion service is in use");
    }
    phaseLine("service-asked", promotion)
        .with("positions", new TreeMap<>(promotion.positions()))
        .with("may_lack_commits", promotion.mayLackCommits())
        .write();
    external
        .promotionService()
        .promote(
            promotion.database(), promotion.server(), leaseHolder, promotion.fence(), mayRequest)
        .whenComplete(
            (answer, failure) -> {
              if (failure == null) {
                phaseLine("service-answered", promotion).with("answer", answer).write();
                control.execute(() -> listener.promotionAnswered(promotion, answer));
              } else {
                phaseLine("service-silent", promotion).with("reason", failure.getMessage()).write();
              }
            });
  }

  private static DecisionLog.Line phaseLine(String phase, RequestPromotion promotion) {
    return DecisionLog.line(LogEvent.PROMOTION_PHASE)
        .with("phase", phase)
        .with("database", promotion.database())
        .with("view_term", promotion.term())
        .with("server", promotion.server())
        .with("fence", promotion.fence());
  }

  private ServerStatus fetchStatus(QueryPosition query) throws BackendException {
    ServerRef server = new ServerRef(query.database(), query.server(), query.address());
    return switch (access) {
      case BackendAccess.External external ->
          external.statusClient().status(server, QUERY_TIMEOUT_MILLIS);
      case BackendAccess.Direct direct -> fetchStatus(direct.connector(), server, query);
    };
  }

  private static ServerStatus fetchStatus(
      DatabaseConnector connector, ServerRef server, QueryPosition query) throws BackendException {
    if (query.minOffset() == 0) {
      return connector.status(server, QUERY_TIMEOUT_MILLIS);
    }
    return connector.awaitOffset(query.address(), query.minOffset(), query.waitMillis());
  }
}
