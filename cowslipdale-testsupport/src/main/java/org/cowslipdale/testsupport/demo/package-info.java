/**
 * A demonstration of the main features on a fleet on loopback.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.testsupport.demo;

import org.jspecify.annotations.NullMarked;
