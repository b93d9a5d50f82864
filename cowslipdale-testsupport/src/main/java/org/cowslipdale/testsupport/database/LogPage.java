package org.cowslipdale.testsupport.database;

import java.util.List;

/**
 * A part of a primary's log.
 *
 * @param term the primary's term
 * @param from the offset of the first record
 * @param records the records
 * @param starts the terms that the primary knows
 */
public record LogPage(long term, long from, List<LogRecord> records, List<Start> starts) {

  /**
   * The start of a term.
   *
   * @param term the term
   * @param offset the log offset at which it began
   */
  public record Start(long term, long offset) {}
}
