/**
 * Starts daemons and stand-in servers as processes on the loopback interface.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.testsupport.fleet;

import org.jspecify.annotations.NullMarked;
