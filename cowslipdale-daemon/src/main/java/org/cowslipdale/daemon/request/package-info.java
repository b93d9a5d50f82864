/**
 * What lives as long as a request of a caller, and as long as its transaction.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.request;

import org.jspecify.annotations.NullMarked;
