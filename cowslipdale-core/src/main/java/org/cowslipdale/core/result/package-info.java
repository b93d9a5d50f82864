/**
 * Numbered result codes and the exceptions that carry them.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.result;

import org.jspecify.annotations.NullMarked;
