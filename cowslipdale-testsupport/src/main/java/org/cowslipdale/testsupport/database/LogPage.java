package org.cowslipdale.testsupport.database;

import java.util.List;

/**
 * A contiguous section of a primary's log, together with the terms of the log.
 *
 * @param term the primary's term
 * @param from the offset of the first record
 * @param records the records, in log order
 * @param starts the terms in the log of the primary, in ascending order
 */
public record LogPage(long term, long from, List<LogRecord> records, List<Start> starts) {

  /**
   * The start of a term.
   *
   * @param term the term
   * @param offset the offset of the first record of the term
   */
  public record Start(long term, long offset) {}
}
