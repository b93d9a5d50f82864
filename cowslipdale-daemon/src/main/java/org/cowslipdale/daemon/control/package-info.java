/**
 * The control plane of a VM: the replicated control log, view leases, registration of VMs, failover
 * of primaries, and the messages between VMs about permits, tokens and claims.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.control;

import org.jspecify.annotations.NullMarked;
