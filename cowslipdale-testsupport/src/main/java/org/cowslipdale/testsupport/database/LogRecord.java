package org.cowslipdale.testsupport.database;

import java.util.List;

/**
 * One record of the replicated log: the writes of one statement or transaction.
 *
 * @param term the term in which it was written
 * @param writes the changes, in order
 */
public record LogRecord(long term, List<Write> writes) {

  /**
   * A change of one key.
   *
   * @param key the key
   * @param value the new value
   */
  public record Write(String key, String value) {}
}
