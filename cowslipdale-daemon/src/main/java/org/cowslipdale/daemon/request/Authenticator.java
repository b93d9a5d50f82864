package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.control.LeaseTimings;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.session.SessionToken;
import org.cowslipdale.core.session.SessionTokenCodec;
import org.cowslipdale.core.view.Customer;
import org.cowslipdale.core.view.KeyDigester;
import org.cowslipdale.daemon.version.CurrentView;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/**
 * Checks the key of every request, also on connections that have shown it before.
 *
 * <p>A VM without a lease cannot hear of withdrawn keys. It accepts keys for {@link
 * LeaseTimings#KEY_GRACE_MILLIS} after the end of its lease and then serves open routes only.
 */
final class Authenticator {

  private final ViewHolder views;
  private final SessionTokenCodec tokenCodec;
  private final VmClock clock;

  Authenticator(ViewHolder views, SessionTokenCodec tokens, VmClock clock) {
    this.views = requireNonNull(views, "views");
    this.tokenCodec = requireNonNull(tokens, "tokens");
    this.clock = requireNonNull(clock, "clock");
  }

  /** Returns the customer to whom the key of a request was given. */
  Customer authenticate(CallerRequest request) throws RefusalException {
    CurrentView current = views.get();
    if (request.key() == null) {
      throw new RefusalException(ResultCode.UNAUTHENTICATED);
    }
    if (current.lease().expiredForMillis(clock.millis()) > LeaseTimings.KEY_GRACE_MILLIS) {
      throw new RefusalException(ResultCode.NO_LEASE);
    }
    return KeyDigester.authenticate(current.view(), request.key())
        .orElseThrow(() -> new RefusalException(ResultCode.UNAUTHENTICATED));
  }

  /** Returns what the session of a request has seen. */
  SessionToken decodeSession(@Nullable String token, String customer) throws RefusalException {
    return token == null ? SessionToken.empty(customer) : tokenCodec.decode(token, customer);
  }
}
