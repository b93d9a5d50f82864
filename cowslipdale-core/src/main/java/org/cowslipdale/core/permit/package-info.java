/**
 * Lends the connections that a backend server accepts to the VMs that need them.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.permit;

import org.jspecify.annotations.NullMarked;
