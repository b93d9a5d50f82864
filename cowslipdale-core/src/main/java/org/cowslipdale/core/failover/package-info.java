/**
 * Detection of failed primaries and promotion of another server.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.failover;

import org.jspecify.annotations.NullMarked;
