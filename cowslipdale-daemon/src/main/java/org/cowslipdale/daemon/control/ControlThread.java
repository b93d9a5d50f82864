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

/** The thread to which all state of the control plane is confined. */
public final class ControlThread implements Executor, AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(ControlThread.class);

  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          Thread.ofPlatform().name("control").daemon(true).factory());

  @Override
  public void execute(Runnable task) {
    try {
      executor.execute(() -> runAndLogFailure(task));
    } catch (RejectedExecutionException e) {
      LOG.debug("the control thread has stopped", e);
    }
  }

  /**
   * Runs a task repeatedly.
   *
   * @param intervalMillis the time between two runs, in milliseconds
   * @param task the task
   */
  public void scheduleWithFixedDelay(long intervalMillis, Runnable task) {
    executor.scheduleWithFixedDelay(
        () -> runAndLogFailure(task), intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a task and waits for it.
   *
   * @param task the task
   */
  public void runAndWait(Runnable task) {
    FutureTask<Void> future = new FutureTask<>(task, null);
    execute(future);
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

  private static void runAndLogFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.error("a control task failed", e);
    }
  }
}
