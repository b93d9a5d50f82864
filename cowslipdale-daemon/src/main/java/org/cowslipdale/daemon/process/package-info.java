/**
 * What lives as long as the process: start, wiring, administration, shutdown.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.process;

import org.jspecify.annotations.NullMarked;
