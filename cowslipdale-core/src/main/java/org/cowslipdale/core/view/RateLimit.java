package org.cowslipdale.core.view;

/**
 * How much a customer may send over the whole fleet.
 *
 * @param ratePerSecond sustained requests per second
 * @param burst requests that may exceed the sustained rate at once
 */
public record RateLimit(double ratePerSecond, long burst) {}
