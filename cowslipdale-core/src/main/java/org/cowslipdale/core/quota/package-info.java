/**
 * Rate limits of customers, enforced over the whole fleet with tokens that one VM issues.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.quota;

import org.jspecify.annotations.NullMarked;
