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
 * Authenticates every request by its API key, even if an earlier request on the same connection
 * carried that key.
 *
 * <p>A VM without a lease may not receive the withdrawal of a key. It therefore accepts keys only
 * until {@link LeaseTimings#KEY_GRACE_MILLIS} after the end of its lease. After that it serves only
 * open routes.
 */
final class Authenticator {

  private final ViewHolder views;
  private final SessionTokenCodec tokenCodec;
  private final VmClock clock;

  Authenticator(ViewHolder views, SessionTokenCodec tokenCodec, VmClock clock) {
    this.views = requireNonNull(views, "views");
    this.tokenCodec = requireNonNull(tokenCodec, "tokenCodec");
    this.clock = requireNonNull(clock, "clock");
  }

  /**
   * Returns the customer that owns the API key of a request.
   *
   * @throws RefusalException if the key is missing or unknown, or the key grace period has ended
   */
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

  /**
   * Decodes the session token of a request. Without a token the session is new and has no
   * positions.
   *
   * @throws RefusalException if the token is invalid or belongs to another customer
   */
  SessionToken decodeSession(@Nullable String token, String customer) throws RefusalException {
    return token == null ? SessionToken.empty(customer) : tokenCodec.decode(token, customer);
  }
}
