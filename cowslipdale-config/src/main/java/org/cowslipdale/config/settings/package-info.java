/**
 * The settings of one daemon.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.config.settings;

import org.jspecify.annotations.NullMarked;
