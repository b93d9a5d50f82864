package org.cowslipdale.daemon.control;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.FutureTask;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The single thread to which all state of the control plane is confined.
 *
 * <p>If a task throws a {@link RuntimeException}, the exception is logged and the thread continues.
 * A task that is passed to {@link #execute} after {@link #close} is dropped.
 */
public final class ControlThread implements Executor, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ControlThread.class);

  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("control").daemon(true).factory());

  @Override
  public void execute(Runnable task) {
    tryExecute(task);
  }

  /**
   * Runs a task repeatedly, for the first time after one delay.
   *
   * @param delayMillis the time from the end of one run to the start of the next, in milliseconds
   * @param task the task to run
   */
  public void scheduleWithFixedDelay(long delayMillis, Runnable task) {
    executor.scheduleWithFixedDelay(
        () -> runAndLogFailure(task), delayMillis, delayMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a task and waits until it has completed or the calling thread is interrupted. Returns at
   * once, without running the task, if the thread has been closed.
   *
   * @param task the task to run
   * @throws IllegalStateException if the task fails
   */
  public void runAndWait(Runnable task) {
    FutureTask<Void> future = new FutureTask<>(task, null);
    if (!tryExecute(future)) {
      return;
    }
    try {
      future.get();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      throw new IllegalStateException(e.getCause());
    }
  }

  @Override
  public void close() {
    executor.shutdown();
  }

  /** Returns whether the task will run. */
  private boolean tryExecute(Runnable task) {
    try {
      executor.execute(() -> runAndLogFailure(task));
      return true;
    } catch (RejectedExecutionException e) {
      LOG.debug("Task dropped: the control thread has stopped", e);
      return false;
    }
  }

  private static void runAndLogFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("Task of the control thread failed", e);
    }
  }
}
