/**
 * Benchmarks of running daemons: latency, throughput, control traffic with memory, and failover.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.testsupport.bench;

import org.jspecify.annotations.NullMarked;
