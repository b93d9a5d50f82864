/**
 * The reader of the configuration file that operators apply to the whole fleet.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.config.fleet;

import org.jspecify.annotations.NullMarked;
