/**
 * The state machine that applies the control log, and the leases on its view.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.control;

import org.jspecify.annotations.NullMarked;
