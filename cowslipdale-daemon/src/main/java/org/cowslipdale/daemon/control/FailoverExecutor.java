package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.function.Consumer;
import org.cowslipdale.config.protocol.PromotionCall;
import org.cowslipdale.config.protocol.ServerStatus;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.failover.FailoverAction.Order;
import org.cowslipdale.core.failover.FailoverAction.QueryPosition;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.connection.DatabaseConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries the orders of a failover coordinator out and returns the servers' answers. */
final class FailoverExecutor {

  private static final Logger LOG = LoggerFactory.getLogger(FailoverExecutor.class);
  private static final long ORDER_TIMEOUT_MILLIS = 1_000;
  private static final long QUERY_TIMEOUT_MILLIS = 600;

  private final DatabaseConnector connector;
  private final ControlThread control;

  FailoverExecutor(DatabaseConnector connector, ControlThread control) {
    this.connector = requireNonNull(connector, "connector");
    this.control = requireNonNull(control, "control");
  }

  /** Takes in the position of a server, on the control thread. */
  interface PositionListener {

    void position(QueryPosition query, LogPosition position);
  }

  void query(QueryPosition query, PositionListener listener) {
    Thread.startVirtualThread(
        () -> {
          try {
            ServerStatus status = ask(query);
            LogPosition position = new LogPosition(status.term(), status.offset());
            control.execute(() -> listener.position(query, position));
          } catch (BackendException e) {
            LOG.info("server {} did not tell its position: {}", query.server(), e.getMessage());
          }
        });
  }

  /** Sends an order; a confirmed promotion is passed on, on the control thread. */
  void order(Order order, Consumer<ServerStatus> promoted) {
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

  private ServerStatus ask(QueryPosition query) throws BackendException {
    if (query.minOffset() == 0) {
      return connector.status(query.address(), QUERY_TIMEOUT_MILLIS);
    }
    return connector.awaitOffset(query.address(), query.minOffset(), query.waitMillis());
  }
}
