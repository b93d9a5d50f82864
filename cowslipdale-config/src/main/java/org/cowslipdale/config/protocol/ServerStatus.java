package org.cowslipdale.config.protocol;

import org.cowslipdale.core.backend.ServerRole;

/**
 * The state of a backend server, sent as the response to {@code GET /status}, {@code POST /promote}
 * and {@code POST /await}.
 *
 * @param server the name of the server
 * @param role its role
 * @param term the term of the log that it holds
 * @param offset the end of its applied log
 * @param termBarrier the highest term of which the server was notified; it rejects writes of lower
 *     terms
 */
public record ServerStatus(
    String server, ServerRole role, long term, long offset, long termBarrier) {}
