/**
 * Claims on request ids, which ensure that a request that is not repeatable runs at most once.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.claim;

import org.jspecify.annotations.NullMarked;
