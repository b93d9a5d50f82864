package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

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

/** Carries the orders of a failover coordinator out and returns the servers' answers. */
final class FailoverExecutor {

  private static final Logger LOG = LoggerFactory.getLogger(FailoverExecutor.class);
  private static final long ORDER_TIMEOUT_MILLIS = 1_000;
  private static final long QUERY_TIMEOUT_MILLIS = 600;

  private final String leaseHolder;
  private final BackendAccess access;
  private final ControlThread control;

  FailoverExecutor(String holder, BackendAccess access, ControlThread control) {
    this.leaseHolder = requireNonNull(holder, "holder");
    this.access = requireNonNull(access, "access");
    this.control = requireNonNull(control, "control");
  }

  /** Takes in the position of a server, on the control thread. */
  interface PositionListener {

    void positionReceived(QueryPosition query, LogPosition position);
  }

  /** Takes in the answer of the promotion service, on the control thread. */
  interface PromotionListener {

    void promotionAnswered(RequestPromotion asked, PromotionService.Answer answer);
  }

  void queryPosition(QueryPosition query, PositionListener listener) {
    Thread.startVirtualThread(
        () -> {
          try {
            ServerStatus status = fetchStatus(query);
            LogPosition position = new LogPosition(status.term(), status.offset());
            control.execute(() -> listener.positionReceived(query, position));
          } catch (BackendException e) {
            LOG.info("server {} did not tell its position: {}", query.server(), e.getMessage());
          }
        });
  }

  /** Sends an order; a confirmed promotion is passed on, on the control thread. */
  void sendOrder(AssignRole order, Consumer<ServerStatus> promoted) {
    if (!(access instanceof BackendAccess.Direct direct)) {
      throw new IllegalStateException("servers take orders from the promotion service only");
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
            LOG.info("server {} did not follow an order: {}", order.server(), e.getMessage());
          }
        });
  }

  /** Asks the promotion service; only answers are passed on. */
  void promote(RequestPromotion promotion, PromotionListener listener) {
    if (!(access instanceof BackendAccess.External adapted)) {
      throw new IllegalStateException("there is no promotion service");
    }
    phaseLine("service-asked", promotion).write();
    adapted
        .promotionService()
        .promote(promotion.database(), promotion.server(), leaseHolder, promotion.fence())
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
      case BackendAccess.External adapted -> adapted.statusClient().status(server, QUERY_TIMEOUT_MILLIS);
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
