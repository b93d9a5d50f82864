package org.cowslipdale.testsupport.database;

import java.util.List;

/**
 * One record of the replicated log: the writes of one statement or transaction.
 *
 * @param term the term in which the record was written
 * @param writes the writes, in the order in which they are applied
 */
public record LogRecord(long term, List<Write> writes) {

  /**
   * An assignment of a value to a key.
   *
   * @param key the key
   * @param value the new value
   */
  public record Write(String key, String value) {}
}
