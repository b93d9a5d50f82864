package org.cowslipdale.daemon.process;

import io.vertx.core.Future;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Blocks until components of the daemon have started or stopped. */
final class LifecycleWaits {

  private static final Logger LOG = LoggerFactory.getLogger(LifecycleWaits.class);

  /** Much longer than it takes to bind an address on a busy VM. */
  private static final long START_TIMEOUT_SECONDS = 20;

  /** A component that does not stop in this time is abandoned, because the process ends anyway. */
  private static final long STOP_TIMEOUT_SECONDS = 5;

  private LifecycleWaits() {}

  /**
   * Waits until an address is bound.
   *
   * @throws CowslipException if the address cannot be bound in time
   */
  static void awaitBound(Future<Void> future, String address) throws CowslipException {
    try {
      future.toCompletionStage().toCompletableFuture().get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new CowslipException(
          ResultCode.ADDRESS_IN_USE, "cannot bind %s: %s".formatted(address, e.getMessage()), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CowslipException(ResultCode.INTERNAL_ERROR, "interrupted", e);
    }
  }

  /** Waits until a component has stopped; logs a warning if it fails or does not stop in time. */
  static void awaitStopped(Future<Void> future) {
    try {
      future.toCompletionStage().toCompletableFuture().get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      LOG.warn("a component failed to stop or did not stop in time", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
