/**
 * What lives as long as a caller's session: its values, prepared statements and transaction, and
 * the connections to backend servers on which its statements run.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.session;

import org.jspecify.annotations.NullMarked;
