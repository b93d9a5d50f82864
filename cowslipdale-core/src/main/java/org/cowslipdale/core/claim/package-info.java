/**
 * Claims on request ids, which make unrepeatable requests run at most once.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.claim;

import org.jspecify.annotations.NullMarked;
