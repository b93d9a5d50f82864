/**
 * Replication of the control log among the voters with the Raft consensus algorithm.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.consensus;

import org.jspecify.annotations.NullMarked;
