/**
 * Statements of callers' sessions and replies of backend servers, independent of any wire format.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.statement;

import org.jspecify.annotations.NullMarked;
