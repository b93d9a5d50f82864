package org.cowslipdale.core.quota;

/**
 * What a VM tells the owner of a customer's tokens.
 *
 * @param unused the tokens that the VM keeps in stock
 * @param returned the tokens that the VM gives back
 * @param needed the tokens for requests that wait
 * @param prefetch the tokens wanted in addition for requests to come
 * @param maxWaitMillis how long the waiting requests can wait for their tokens, in milliseconds
 */
public record TokenDemand(
    long unused, long returned, long needed, long prefetch, long maxWaitMillis) {}
