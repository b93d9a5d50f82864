/**
 * The control plane of a VM: control log, leases, registration and failover.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.control;

import org.jspecify.annotations.NullMarked;
