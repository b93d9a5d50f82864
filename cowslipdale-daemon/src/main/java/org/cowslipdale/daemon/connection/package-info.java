/**
 * What lives as long as a connection: to backend servers and to other VMs.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.connection;

import org.jspecify.annotations.NullMarked;
