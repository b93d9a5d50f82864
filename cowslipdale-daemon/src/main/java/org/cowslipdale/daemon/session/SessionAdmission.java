package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.cowslipdale.core.control.LeaseTimings;
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
 * Admits sessions and their operations: route, key and rate.
 *
 * <p>The key is checked again for each statement, since it may have been withdrawn. A VM that has
 * had no lease for a while cannot know that and admits nothing.
 */
final class SessionAdmission {

  /** The customer of sessions that need no key and show none that is known. */
  private static final String ANONYMOUS_CUSTOMER = "-";

  /**
   * The longest wait for a token, in milliseconds. It does not depend on the target of the route,
   * so requests of a customer over its rate have the same chance on all its routes. A request that
   * can get none in time is refused sooner, after a round trip to the control leader.
   */
  private static final long MAX_TOKEN_WAIT_MILLIS = 300;

  /** At most this part of the statement limit is spent on the wait for a token. */
  private static final long TOKEN_WAIT_DIVISOR = 2;

  /** How long the opening of a session waits for the VM's first view, in milliseconds. */
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

  /** Checks that a session may use a route at the present time. */
  AdmittedOperation authorize(String routeName, @Nullable String key) throws RefusalException {
    CurrentView current = views.get();
    long leaseless = current.lease().expiredForMillis(clock.millis());
    if (current.view().version() == 0 || leaseless > LeaseTimings.KEY_GRACE_MILLIS) {
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
    return new AdmittedOperation(route, customer.map(Customer::name).orElse(ANONYMOUS_CUSTOMER));
  }

  /** Checks that the key with which an operation was admitted still belongs to its customer. */
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

  /** Admits one operation: authorizes it and takes a token of the customer. */
  AdmittedOperation admit(String routeName, @Nullable String key, long receivedMillis)
      throws RefusalException {
    AdmittedOperation operation = authorize(routeName, key);
    if (!operation.customer().equals(ANONYMOUS_CUSTOMER)) {
      long share = operation.route().statementLimitMillis() / TOKEN_WAIT_DIVISOR;
      long wait = Math.min(share, MAX_TOKEN_WAIT_MILLIS);
      limiter.acquire(operation.customer(), receivedMillis + wait);
    }
    return operation;
  }
}
