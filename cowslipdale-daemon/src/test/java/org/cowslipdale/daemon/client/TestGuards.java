package org.cowslipdale.daemon.client;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import org.cowslipdale.core.budget.ClientLimits;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.daemon.version.VmClock;

/** Creates guards for tests of other classes. */
public final class TestGuards {

  private TestGuards() {}

  /**
   * Creates a guard with the limits without settings.
   *
   * @param vertx the Vert.x instance
   */
  public static ClientGuard create(Vertx vertx) {
    try {
      return new ClientGuard(
          vertx, new VmClock(), new SimpleMeterRegistry(), 0, ClientLimits.DEFAULT);
    } catch (CowslipException e) {
      throw new IllegalStateException(e);
    }
  }
}
