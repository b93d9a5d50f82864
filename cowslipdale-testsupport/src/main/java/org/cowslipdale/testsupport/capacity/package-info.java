/**
 * Measures how state and work grow with the size of the fleet.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.testsupport.capacity;

import org.jspecify.annotations.NullMarked;
