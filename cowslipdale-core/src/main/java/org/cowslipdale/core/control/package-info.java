/**
 * The state machine that the control log drives, and leases on its view.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.control;

import org.jspecify.annotations.NullMarked;
