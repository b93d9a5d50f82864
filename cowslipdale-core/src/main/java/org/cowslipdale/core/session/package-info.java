/**
 * Log positions of database groups and the session tokens that carry them.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.session;

import org.jspecify.annotations.NullMarked;
