/**
 * The budget of bytes that a VM holds on behalf of its clients, and the limits on their
 * connections.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.budget;

import org.jspecify.annotations.NullMarked;
