package org.cowslipdale.core.quota;

/**
 * A demand of a VM for tokens of a customer, sent to the token issuer.
 *
 * @param unused the number of tokens that the VM keeps in stock
 * @param returned the number of tokens that the VM returns
 * @param needed the number of tokens for waiting requests
 * @param prefetch the number of tokens requested in addition, for future requests
 * @param maxWaitMillis how long the waiting requests may wait for their tokens, in milliseconds
 */
public record TokenDemand(
    long unused, long returned, long needed, long prefetch, long maxWaitMillis) {}
