package org.cowslipdale.config.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * A request to a backend server.
 *
 * @param call the identifier of the call, which the answer repeats
 * @param term the term that the server must be in
 * @param asPrimary whether the server must be the primary of the term
 * @param minOffset the log offset that the server must have applied
 * @param waitMillis how long the server may wait to reach {@code minOffset}, in milliseconds
 * @param maxAgeMillis the maximum age of the server's data, in milliseconds
 * @param write whether the statement may change data
 * @param statement the statement, as the caller sent it
 * @param parameters the parameters of the statement, if any
 */
public record BackendCall(
    String call,
    long term,
    boolean asPrimary,
    long minOffset,
    long waitMillis,
    long maxAgeMillis,
    boolean write,
    @Nullable String statement,
    @Nullable JsonNode parameters) {}
