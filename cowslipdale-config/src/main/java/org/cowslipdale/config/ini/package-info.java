/**
 * A reader for INI files whose errors contain the file, the line and the allowed values.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.config.ini;

import org.jspecify.annotations.NullMarked;
