package org.cowslipdale.core.claim;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.cowslipdale.core.view.View;
import org.jspecify.annotations.Nullable;

/**
 * The claims that this VM holds for the fleet, in memory.
 *
 * <p>A holder that restarted has lost its claims. It therefore refuses every id that was created
 * before its start, with a margin for the difference of two clocks; an id created later cannot have
 * been claimed before, because ids from the future are refused too. This class is confined to one
 * thread.
 */
public final class ClaimTable {

  /** The greatest difference between the wall clocks of two machines that is tolerated. */
  public static final long CLOCK_SKEW_MILLIS = 1_000;

  private static final int MAX_STORED_ANSWER_CHARS = 4_096;

  private final long startedAtEpochMillis;
  private final Map<Key, Entry> entries = new HashMap<>();

  private record Key(String customer, String requestId) {}

  private record Entry(String attempt, long createdMillis, @Nullable String answer) {}

  /**
   * Creates an empty table.
   *
   * @param startedWallMillis when this VM started, in milliseconds since the epoch
   */
  public ClaimTable(long startedWallMillis) {
    this.startedAtEpochMillis = startedWallMillis;
  }

  /**
   * Claims an id for an attempt.
   *
   * @param customer the customer
   * @param id the request id
   * @param attempt a number that is unique to the attempt
   * @param nowWall the present time, in milliseconds since the epoch
   */
  public ClaimReply claim(String customer, RequestId id, String attempt, long nowWall) {
    boolean beforeStart = id.createdMillis() <= startedAtEpochMillis + CLOCK_SKEW_MILLIS;
    boolean forgotten = id.createdMillis() <= nowWall - View.CLAIM_RETENTION_MILLIS;
    boolean fromTheFuture = id.createdMillis() > nowWall + CLOCK_SKEW_MILLIS;
    if (beforeStart || forgotten || fromTheFuture) {
      return new ClaimReply.CannotTell();
    }
    Key key = new Key(customer, id.text());
    Entry entry = entries.get(key);
    if (entry == null) {
      entries.put(key, new Entry(attempt, id.createdMillis(), null));
      return new ClaimReply.Granted();
    }
    if (entry.attempt().equals(attempt)) {
      return new ClaimReply.Granted();
    }
    return entry.answer() == null
        ? new ClaimReply.Taken()
        : new ClaimReply.Completed(entry.answer());
  }

  /**
   * Removes the claim of an attempt that did not run and will not.
   *
   * @param customer the customer
   * @param requestId the request id
   * @param attempt the attempt
   */
  public void release(String customer, String requestId, String attempt) {
    Key key = new Key(customer, requestId);
    Entry entry = entries.get(key);
    if (entry != null && entry.attempt().equals(attempt)) {
      entries.remove(key);
    }
  }

  /**
   * Records the answer of an attempt; an answer that is too long is not kept.
   *
   * @param customer the customer
   * @param requestId the request id
   * @param attempt the attempt
   * @param answer the answer body
   */
  public void complete(String customer, String requestId, String attempt, String answer) {
    Key key = new Key(customer, requestId);
    Entry entry = entries.get(key);
    boolean known = entry != null && entry.attempt().equals(attempt);
    if (known && answer.length() <= MAX_STORED_ANSWER_CHARS) {
      entries.put(key, new Entry(attempt, entry.createdMillis(), answer));
    }
  }

  /**
   * Drops claims on ids that are refused by their age alone.
   *
   * @param nowWall the present time, in milliseconds since the epoch
   */
  public void expire(long nowWall) {
    long oldest = nowWall - View.CLAIM_RETENTION_MILLIS - CLOCK_SKEW_MILLIS;
    for (Iterator<Entry> it = entries.values().iterator(); it.hasNext(); ) {
      if (it.next().createdMillis() <= oldest) {
        it.remove();
      }
    }
  }

  /** Returns the number of claims held. */
  public int size() {
    return entries.size();
  }
}
