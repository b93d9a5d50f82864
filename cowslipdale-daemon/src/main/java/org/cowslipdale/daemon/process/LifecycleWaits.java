package org.cowslipdale.daemon.process;

import io.vertx.core.Future;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Waits for parts of the daemon to start and stop. */
final class LifecycleWaits {

  private static final Logger LOG = LoggerFactory.getLogger(LifecycleWaits.class);

  /** Far beyond the binding of an address on a busy VM. */
  private static final long START_TIMEOUT_SECONDS = 20;

  /** A part that does not stop is left behind; the process ends anyway. */
  private static final long STOP_TIMEOUT_SECONDS = 5;

  private LifecycleWaits() {}

  /** Waits until an address is bound. */
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

  /** Waits until a part has stopped, and logs it if it does not. */
  static void awaitStopped(Future<Void> future) {
    try {
      future.toCompletionStage().toCompletableFuture().get(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      LOG.warn("a part did not stop in time", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
