/**
 * The settings of a daemon and the reader of its settings file.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.config.settings;

import org.jspecify.annotations.NullMarked;
