package org.cowslipdale.testsupport.database;

/**
 * Misbehaviour that tests switch on through {@code POST /faults}.
 *
 * @param answerDelayMillis how long every answer is delayed, in milliseconds
 * @param dropAnswers whether calls run but are never answered
 * @param wrongCall whether answers repeat the identifier of the previous call, as a late answer
 *     does
 * @param lagMillis delay before replicated records are applied, in milliseconds
 * @param stopReplication whether the server stops to fetch from its primary
 * @param leaving whether the server announces that it leaves
 * @param silent whether the server stops to announce itself
 */
public record Faults(
    long answerDelayMillis,
    boolean dropAnswers,
    boolean wrongCall,
    long lagMillis,
    boolean stopReplication,
    boolean leaving,
    boolean silent) {

  /**
   * Returns a server without faults.
   *
   * @param lagMillis delay before replicated records are applied, in milliseconds
   */
  static Faults none(long lagMillis) {
    return new Faults(0, false, false, lagMillis, false, false, false);
  }
}
