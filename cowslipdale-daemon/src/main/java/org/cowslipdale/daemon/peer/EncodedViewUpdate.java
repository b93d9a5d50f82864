package org.cowslipdale.daemon.peer;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.cowslipdale.config.codec.Codecs;

/** A {@link ViewUpdate} as compressed MessagePack, which can be sent to many VMs. */
public final class EncodedViewUpdate {

  private static final ObjectMapper CODEC = Codecs.compactMessagePack();

  private final byte[] bytes;

  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  EncodedViewUpdate(byte[] bytes) {
    this.bytes = requireNonNull(bytes, "bytes");
  }

  /**
   * Encodes an update.
   *
   * @throws IOException if it cannot be encoded
   */
  public static EncodedViewUpdate of(ViewUpdate update) throws IOException {
    return new EncodedViewUpdate(FrameCodec.compress(CODEC.writeValueAsBytes(update)));
  }

  /**
   * Decodes the update.
   *
   * @throws IOException if it cannot be read or exceeds the size limit of a frame
   */
  public ViewUpdate decode() throws IOException {
    return CODEC.readValue(FrameCodec.decompress(bytes), ViewUpdate.class);
  }

  @JsonValue
  byte[] bytes() {
    return bytes;
  }
}
