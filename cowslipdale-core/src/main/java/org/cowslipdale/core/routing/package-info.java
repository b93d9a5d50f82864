/**
 * Choice of the backend server on which a request runs.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.routing;

import org.jspecify.annotations.NullMarked;
