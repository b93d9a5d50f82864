/**
 * The replicated configuration and membership state, its commands and its validation.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.view;

import org.jspecify.annotations.NullMarked;
