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

/** Lets (virtual) threads start exchanges on event loops and wait for them. */
public final class EventLoopCalls {

  /** How often the wait for an answer checks that the answer would still be useful. */
  private static final long CANCELLATION_CHECK_INTERVAL_MILLIS = 100;

  private EventLoopCalls() {}

  /**
   * Runs an exchange on an event loop from its start.
   *
   * <p>Composed from another thread, it could attach the handler of a body after the body arrived.
   *
   * @param <T> the type of the answer
   * @param context the event loop
   * @param exchange starts the exchange
   */
  public static <T> Future<T> runOnEventLoop(Context context, Supplier<Future<T>> exchange) {
    Promise<T> promise = Promise.promise();
    context.runOnContext(ignored -> exchange.get().onComplete(promise));
    return promise.future();
  }

  /**
   * Waits until a future completes or the time is up.
   *
   * @param <T> the type of the answer
   * @param future the future
   * @param timeoutMillis how long to wait, in milliseconds
   * @throws IOException if the future fails or the time is up
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
   * Waits until a future completes, the time is up, or its value would be useless.
   *
   * @param <T> the type of the answer
   * @param future the future
   * @param timeoutMillis how long to wait, in milliseconds
   * @param useless tells that the value cannot be used any more
   * @throws IOException if the future fails or no useful value came
   */
  static <T> T awaitUnlessCancelled(Future<T> future, long timeoutMillis, BooleanSupplier useless)
      throws IOException {
    CompletableFuture<T> completion = future.toCompletionStage().toCompletableFuture();
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    try {
      while (true) {
        long leftNanos = deadlineNanos - System.nanoTime();
        long waitNanos = Math.min(leftNanos, TimeUnit.MILLISECONDS.toNanos(CANCELLATION_CHECK_INTERVAL_MILLIS));
        try {
          return completion.get(waitNanos, TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
          if (System.nanoTime() >= deadlineNanos || useless.getAsBoolean()) {
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
