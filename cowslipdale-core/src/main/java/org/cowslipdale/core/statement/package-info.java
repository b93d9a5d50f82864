/**
 * The statements of callers' sessions and the answers of backend servers, free of any wire format.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.statement;

import org.jspecify.annotations.NullMarked;
