/**
 * Fair queueing of requests for a limited number of backend connections.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.admission;

import org.jspecify.annotations.NullMarked;
