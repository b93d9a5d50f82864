/**
 * Admission control: fair queueing of requests for a limited number of slots of a backend server,
 * and a budget for retries.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.admission;

import org.jspecify.annotations.NullMarked;
