/**
 * A stand-in database server for tests, with terms, log positions and asynchronous replication.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.testsupport.database;

import org.jspecify.annotations.NullMarked;
