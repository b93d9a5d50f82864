/**
 * The current view of a VM, its lease, and the clocks of the VM.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.version;

import org.jspecify.annotations.NullMarked;
