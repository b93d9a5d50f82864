package org.cowslipdale.core.claim;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.cowslipdale.core.view.View;
import org.jspecify.annotations.Nullable;

/**
 * In-memory table of the claims that this VM holds for the fleet.
 *
 * <p>A restart loses all claims. A holder therefore refuses every id that was created before it
 * started, with a margin for the clock skew between two machines. An id created later cannot have
 * been claimed before the restart, because ids from the future are refused as well.
 *
 * <p>This class is confined to one thread.
 */
public final class ClaimTable {

  /** The tolerated difference between the wall clocks of two machines, in milliseconds. */
  public static final long CLOCK_SKEW_MILLIS = 1_000;

  /** The length of the longest answer that is stored. */
  private static final int MAX_STORED_ANSWER_CHARS = 4_096;

  private final long startedAtEpochMillis;
  private final Map<Key, Entry> entries = new HashMap<>();

  private record Key(String customer, String requestId) {}

  private record Entry(String attempt, long createdMillis, @Nullable String answer) {}

  /**
   * Creates an empty table.
   *
   * @param startedAtEpochMillis when this VM started, in milliseconds since the epoch
   */
  public ClaimTable(long startedAtEpochMillis) {
    this.startedAtEpochMillis = startedAtEpochMillis;
  }

  /**
   * Claims a request id for an attempt. An attempt that already has the claim is granted it again.
   *
   * @param customer the customer
   * @param id the request id
   * @param attempt the unique identifier of the attempt
   * @param nowEpochMillis the current time, in milliseconds since the epoch
   */
  public ClaimReply claim(String customer, RequestId id, String attempt, long nowEpochMillis) {
    boolean beforeStart = id.createdMillis() <= startedAtEpochMillis + CLOCK_SKEW_MILLIS;
    boolean expired = id.createdMillis() <= nowEpochMillis - View.CLAIM_RETENTION_MILLIS;
    boolean inFuture = id.createdMillis() > nowEpochMillis + CLOCK_SKEW_MILLIS;
    if (beforeStart || expired || inFuture) {
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
   * Releases the claim of an attempt that has not run and will not run.
   *
   * <p>Does nothing if the attempt does not have the claim.
   *
   * @param customer the customer
   * @param requestId the request id
   * @param attempt the unique identifier of the attempt
   */
  public void release(String customer, String requestId, String attempt) {
    Key key = new Key(customer, requestId);
    Entry entry = entries.get(key);
    if (entry != null && entry.attempt().equals(attempt)) {
      entries.remove(key);
    }
  }

  /**
   * Stores the answer of an attempt. An answer that is too long is not stored, and the claim stays
   * without a known outcome.
   *
   * @param customer the customer
   * @param requestId the request id
   * @param attempt the unique identifier of the attempt
   * @param answer the answer body
   */
  public void complete(String customer, String requestId, String attempt, String answer) {
    Key key = new Key(customer, requestId);
    Entry entry = entries.get(key);
    boolean hasClaim = entry != null && entry.attempt().equals(attempt);
    if (hasClaim && answer.length() <= MAX_STORED_ANSWER_CHARS) {
      entries.put(key, new Entry(attempt, entry.createdMillis(), answer));
    }
  }

  /**
   * Removes the claims on ids that are refused because of their age.
   *
   * @param nowEpochMillis the current time, in milliseconds since the epoch
   */
  public void expire(long nowEpochMillis) {
    long oldest = nowEpochMillis - View.CLAIM_RETENTION_MILLIS - CLOCK_SKEW_MILLIS;
    for (Iterator<Entry> it = entries.values().iterator(); it.hasNext(); ) {
      if (it.next().createdMillis() <= oldest) {
        it.remove();
      }
    }
  }

  /** Returns the number of claims in the table. */
  public int size() {
    return entries.size();
  }
}
