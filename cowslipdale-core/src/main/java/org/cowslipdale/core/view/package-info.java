/**
 * The replicated view of configuration, membership and primaries, with the commands that change it.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.view;

import org.jspecify.annotations.NullMarked;
