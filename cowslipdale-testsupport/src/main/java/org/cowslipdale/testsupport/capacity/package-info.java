/**
 * Measures and simulates how the state, work and traffic of the proxy grow with the size of the
 * fleet.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.testsupport.capacity;

import org.jspecify.annotations.NullMarked;
