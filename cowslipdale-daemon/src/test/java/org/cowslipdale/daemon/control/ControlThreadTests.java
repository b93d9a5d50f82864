package org.cowslipdale.daemon.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

class ControlThreadTests {

  /** Guards against a shutdown that hangs because it waits for a task that was dropped. */
  @Test
  void runAndWaitReturnsAfterClose() {
    ControlThread control = new ControlThread();
    control.close();
    AtomicBoolean ran = new AtomicBoolean();

    assertTimeoutPreemptively(Duration.ofSeconds(2), () -> control.runAndWait(() -> ran.set(true)));

    assertThat(ran.get(), is(false));
  }
}
