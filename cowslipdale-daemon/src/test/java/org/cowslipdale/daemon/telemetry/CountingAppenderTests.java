package org.cowslipdale.daemon.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that lines are either written or counted as dropped. */
class CountingAppenderTests {

  private static final int LINES = 500;

  /** The output's thread takes a whole queue of lines at once, and another one fills behind it. */
  @ParameterizedTest
  @ValueSource(ints = {10, 100})
  void writesOrCountsEveryLineWhileOutputIsBlocked(int queueSize) throws Exception {
    long before = CountingAppender.droppedLines();
    LoggerContext context = new LoggerContext();
    context.setMDCAdapter(new LogbackMDCAdapter());
    BlockedOutput output = new BlockedOutput();
    output.start();
    CountingAppender appender = new CountingAppender();
    appender.setContext(context);
    appender.setQueueSize(queueSize);
    appender.addAppender(output);
    appender.start();
    Logger logger = context.getLogger("test");
    logger.setLevel(Level.INFO);
    logger.addAppender(appender);

    for (int i = 0; i < LINES; i++) {
      logger.info("line {}", i);
    }
    output.released.countDown();
    long dropped = CountingAppender.droppedLines() - before;
    for (int i = 0; i < 100 && dropped + output.written.get() < LINES; i++) {
      Thread.sleep(50);
    }
    appender.stop();

    assertThat(dropped, greaterThanOrEqualTo(LINES - 2L * queueSize));
    assertThat(dropped + output.written.get(), is((long) LINES));
  }

  private static final class BlockedOutput extends AppenderBase<ILoggingEvent> {

    private final CountDownLatch released = new CountDownLatch(1);
    private final AtomicInteger written = new AtomicInteger();

    @Override
    protected void append(ILoggingEvent event) {
      try {
        released.await();
        written.incrementAndGet();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
