/**
 * Announcements of backend servers and the registry built from them.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.backend;

import org.jspecify.annotations.NullMarked;
