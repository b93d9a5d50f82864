/**
 * A TCP proxy that injects network faults.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.testsupport.network;

import org.jspecify.annotations.NullMarked;
