/**
 * Deterministic choice of the VMs for a task, spread over failure domains.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.placement;

import org.jspecify.annotations.NullMarked;
