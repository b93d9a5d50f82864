package org.cowslipdale.config.ini;

/**
 * The value of a key in a section.
 *
 * @param text the text of the value
 * @param line the line number, starting at 1
 */
public record IniValue(String text, int line) {}
