/**
 * Numbered result codes and the exception family that carries them.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.result;

import org.jspecify.annotations.NullMarked;
