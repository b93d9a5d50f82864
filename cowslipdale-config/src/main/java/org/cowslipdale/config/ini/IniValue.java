package org.cowslipdale.config.ini;

/**
 * The value of a key.
 *
 * @param text the text of the value
 * @param line the line number, counted from 1
 */
public record IniValue(String text, int line) {}
