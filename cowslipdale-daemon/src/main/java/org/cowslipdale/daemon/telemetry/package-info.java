/**
 * Tracing with a span for each hop, the decision log, and request metrics.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.telemetry;

import org.jspecify.annotations.NullMarked;
