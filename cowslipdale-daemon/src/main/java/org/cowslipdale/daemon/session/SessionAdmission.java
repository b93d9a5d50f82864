package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.cowslipdale.core.control.LeaseTimings;
import org.cowslipdale.core.placement.HomeRegions;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.Customer;
import org.cowslipdale.core.view.KeyDigester;
import org.cowslipdale.core.view.SessionRoute;
import org.cowslipdale.daemon.request.RateLimiter;
import org.cowslipdale.daemon.version.CurrentView;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/**
 * Admits sessions and their operations: checks the route, the key and the customer's rate.
 *
 * <p>The key is checked again for each statement, because it may have been withdrawn. A VM without
 * a lease does not learn of withdrawn keys, so it admits nothing once {@link
 * LeaseTimings#KEY_GRACE_MILLIS} have passed since its lease expired.
 */
final class SessionAdmission {

  /** The customer name for sessions on open routes that sent no valid key. */
  static final String ANONYMOUS_CUSTOMER = "-";

  /**
   * The maximum wait for a token, in milliseconds: longer than a change of the control leader. It
   * does not depend on the target latency of the route, so that requests of a customer that exceeds
   * its rate have the same chance on all its routes. While the control leader answers, a request
   * that cannot get a token in time is refused after a round trip.
   */
  private static final long MAX_TOKEN_WAIT_MILLIS = 1_000;

  /** The wait for a token takes at most the statement limit divided by this number. */
  private static final long TOKEN_WAIT_DIVISOR = 2;

  /** The maximum time for which the opening of a session waits for the VM's first view. */
  private static final long OPEN_WAIT_MILLIS = 1_500;

  private final ViewHolder views;
  private final RateLimiter limiter;
  private final VmClock clock;

  SessionAdmission(ViewHolder views, RateLimiter limiter, VmClock clock) {
    this.views = requireNonNull(views, "views");
    this.limiter = requireNonNull(limiter, "limiter");
    this.clock = requireNonNull(clock, "clock");
  }

  boolean hasView() {
    return views.get().view().version() > 0;
  }

  long openWaitMillis() {
    return OPEN_WAIT_MILLIS;
  }

  /** Checks that a session may currently use a route. */
  AdmittedOperation authorize(String routeName, @Nullable String key) throws RefusalException {
    CurrentView current = views.get();
    long expiredMillis = current.lease().expiredForMillis(clock.millis());
    if (current.view().version() == 0 || expiredMillis > LeaseTimings.KEY_GRACE_MILLIS) {
      throw new RefusalException(ResultCode.NO_LEASE);
    }
    SessionRoute route = current.view().configuration().sessionRoutes().get(routeName);
    if (route == null) {
      throw new RefusalException(ResultCode.NOT_FOUND);
    }
    Optional<Customer> customer =
        key == null ? Optional.empty() : KeyDigester.authenticateOpaque(current.view(), key);
    if (customer.isEmpty() && !route.open()) {
      throw new RefusalException(ResultCode.UNAUTHENTICATED);
    }
    return new AdmittedOperation(
        route,
        customer.map(Customer::name).orElse(ANONYMOUS_CUSTOMER),
        HomeRegions.of(route, customer.orElse(null)));
  }

  /** Checks that the key still belongs to the customer for whom an operation was admitted. */
  void authorizeKey(AdmittedOperation operation, @Nullable String key) throws RefusalException {
    if (operation.route().open()) {
      return;
    }
    boolean same =
        key != null
            && KeyDigester.authenticateOpaque(views.get().view(), key)
                .filter(customer -> customer.name().equals(operation.customer()))
                .isPresent();
    if (!same) {
      throw new RefusalException(ResultCode.UNAUTHENTICATED);
    }
  }

  /** Admits one operation: authorizes it and acquires a token of the customer. */
  AdmittedOperation admit(String routeName, @Nullable String key, long receivedMillis)
      throws RefusalException {
    AdmittedOperation operation = authorize(routeName, key);
    if (!operation.customer().equals(ANONYMOUS_CUSTOMER)) {
      long maxShare = operation.route().statementLimitMillis() / TOKEN_WAIT_DIVISOR;
      long wait = Math.min(maxShare, MAX_TOKEN_WAIT_MILLIS);
      limiter.acquire(operation.customer(), receivedMillis + wait);
    }
    return operation;
  }
}
