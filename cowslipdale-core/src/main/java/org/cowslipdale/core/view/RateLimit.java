package org.cowslipdale.core.view;

/**
 * The rate limit of a customer or an open route over the whole fleet.
 *
 * @param ratePerSecond sustained requests per second
 * @param burst the number of requests that may exceed the sustained rate at once
 */
public record RateLimit(double ratePerSecond, long burst) {}
