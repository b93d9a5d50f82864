/**
 * Reading of INI files with errors that name file, line and allowed values.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.config.ini;

import org.jspecify.annotations.NullMarked;
