/**
 * What lives as long as a version of the view.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.version;

import org.jspecify.annotations.NullMarked;
