package support;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** Receives at most a number of bytes per second, as over a link of this bandwidth. */
final class LimitedInput extends FilterInputStream {

  private static final int PIECE_BYTES = 16 << 10;

  private final int bytesPerSecond;
  private long nextNanos = System.nanoTime();

  LimitedInput(InputStream in, int bytesPerSecond) {
    super(in);
    this.bytesPerSecond = bytesPerSecond;
  }

  @Override
  public int read(byte[] target, int offset, int length) throws IOException {
    long wait = nextNanos - System.nanoTime();
    if (wait > 0) {
      Operator.pause(wait / 1_000_000);
    }
    int count = super.read(target, offset, Math.min(length, PIECE_BYTES));
    if (count > 0) {
      nextNanos =
          Math.max(nextNanos, System.nanoTime() - 20_000_000) + count * 1_000_000_000L / bytesPerSecond;
    }
    return count;
  }
}
