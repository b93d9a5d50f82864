/**
 * Processing of HTTP requests of callers: authentication, rate limits, claims, routing to backend
 * servers and transactions.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.request;

import org.jspecify.annotations.NullMarked;
