package org.cowslipdale.daemon.connection;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Starts asynchronous exchanges on event loops and waits for their results on (virtual) threads.
 */
public final class EventLoopCalls {

  /** The interval at which a wait for an answer checks whether it is cancelled. */
  private static final long CANCELLATION_CHECK_INTERVAL_MILLIS = 100;

  private EventLoopCalls() {}

  /**
   * Starts an exchange on an event loop.
   *
   * <p>All handlers are attached on the event loop. If another thread composed the exchange, the
   * handler of a body could be attached after the body has arrived.
   *
   * @param <T> the type of the answer
   * @param context the event loop
   * @param exchange the supplier that starts the exchange
   */
  public static <T> Future<T> runOnEventLoop(Context context, Supplier<Future<T>> exchange) {
    Promise<T> promise = Promise.promise();
    context.runOnContext(ignored -> exchange.get().onComplete(promise));
    return promise.future();
  }

  /**
   * Waits until a future completes or the timeout has passed.
   *
   * @param <T> the type of the answer
   * @param future the future
   * @param timeoutMillis the timeout in milliseconds
   * @throws IOException if the future fails, the timeout has passed or the thread is interrupted
   */
  public static <T> T await(Future<T> future, long timeoutMillis) throws IOException {
    CompletableFuture<T> completion = future.toCompletionStage().toCompletableFuture();
    try {
      return completion.get(timeoutMillis, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      throw new IOException("no answer in time", e);
    } catch (ExecutionException e) {
      throw new IOException(e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  /**
   * Waits until a future completes, the timeout has passed or the wait is cancelled.
   *
   * @param <T> the type of the answer
   * @param future the future
   * @param timeoutMillis the timeout in milliseconds
   * @param cancelled returns whether the answer is no longer needed
   * @throws IOException if the future fails, the timeout has passed, the wait is cancelled or the
   *     thread is interrupted
   */
  static <T> T awaitUnlessCancelled(Future<T> future, long timeoutMillis, BooleanSupplier cancelled)
      throws IOException {
    CompletableFuture<T> completion = future.toCompletionStage().toCompletableFuture();
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    try {
      while (true) {
        long remainingNanos = deadlineNanos - System.nanoTime();
        long waitNanos =
            Math.min(
                remainingNanos, TimeUnit.MILLISECONDS.toNanos(CANCELLATION_CHECK_INTERVAL_MILLIS));
        try {
          return completion.get(waitNanos, TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
          if (System.nanoTime() >= deadlineNanos || cancelled.getAsBoolean()) {
            throw new IOException("no answer in time", e);
          }
        }
      }
    } catch (ExecutionException e) {
      throw new IOException(e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }
}
