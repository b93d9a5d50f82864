/**
 * The daemon process: startup, wiring of the components, administration interface and shutdown.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.process;

import org.jspecify.annotations.NullMarked;
