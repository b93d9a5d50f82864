package org.cowslipdale.testsupport.database;

/**
 * Faults of a stand-in server, which tests set through {@code POST /faults}.
 *
 * @param answerDelayMillis delay before each answer is sent, in milliseconds
 * @param dropAnswers whether calls are executed but their answers are not sent
 * @param wrongCall whether an answer carries the identifier of the previous call, as a delayed
 *     answer does
 * @param lagMillis delay before replicated records are applied, in milliseconds
 * @param stopReplication whether the server stops fetching the log of its primary
 * @param leaving whether the server announces that it is about to leave
 * @param silent has no effect on the stand-in server, which announces itself regardless
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
   * Returns the faults of a server that works correctly.
   *
   * @param lagMillis delay before replicated records are applied, in milliseconds
   */
  static Faults none(long lagMillis) {
    return new Faults(0, false, false, lagMillis, false, false, false);
  }
}
