/**
 * Sessions of callers with their values, prepared statements and transactions, and the pooled
 * connections to backend servers on which their statements run.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.session;

import org.jspecify.annotations.NullMarked;
