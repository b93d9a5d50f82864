/**
 * Permits to open connections to backend servers, which the control leader grants to VMs.
 *
 * <p>They are required for a server that accepts fewer connections than there are VMs.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.permit;

import org.jspecify.annotations.NullMarked;
