/**
 * Rates and bursts of customers, counted over the whole fleet.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.quota;

import org.jspecify.annotations.NullMarked;
