package org.cowslipdale.daemon.peer;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.util.function.Consumer;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.core.claim.ClaimReply;
import org.cowslipdale.core.consensus.ConsensusMessage;
import org.cowslipdale.core.consensus.LogEntry;

/**
 * Frames messages on TCP: 4 bytes length, then MessagePack. An empty frame is a heartbeat.
 *
 * <p>A frame longer than the limit or one that cannot be decoded is an error of the connection.
 */
final class FrameCodec {

  /** The largest frame that is accepted; a view of the design size fits. */
  static final int MAX_FRAME_BYTES = 64 << 20;

  private static final int LENGTH_BYTES = 4;
  private static final ObjectMapper CODEC =
      Codecs.compactMessagePack(
          PeerMessage.class, ConsensusMessage.class, LogEntry.Payload.class, ClaimReply.class);

  private FrameCodec() {}

  static Buffer heartbeat() {
    return Buffer.buffer().appendInt(0);
  }

  static Buffer encode(PeerFrame frame) throws IOException {
    byte[] payload = CODEC.writeValueAsBytes(frame);
    return Buffer.buffer(LENGTH_BYTES + payload.length)
        .appendInt(payload.length)
        .appendBytes(payload);
  }

  static PeerFrame decode(Buffer payload) throws IOException {
    return CODEC.readValue(payload.getBytes(), PeerFrame.class);
  }

  /** Returns a parser that passes the payload of every frame, also of heartbeats, on. */
  static RecordParser parser(Consumer<Buffer> payloads, Runnable tooLong) {
    RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
    parser.maxRecordSize(MAX_FRAME_BYTES);
    parser.handler(new FrameReader(parser, payloads, tooLong)::read);
    return parser;
  }

  private static final class FrameReader {

    private final RecordParser parser;
    private final Consumer<Buffer> payloads;
    private final Runnable tooLong;
    private boolean inPayload;

    FrameReader(RecordParser parser, Consumer<Buffer> payloads, Runnable tooLong) {
      this.parser = parser;
      this.payloads = payloads;
      this.tooLong = tooLong;
    }

    void read(Buffer record) {
      if (inPayload) {
        inPayload = false;
        parser.fixedSizeMode(LENGTH_BYTES);
        payloads.accept(record);
        return;
      }
      int length = record.getInt(0);
      if (length < 0 || length > MAX_FRAME_BYTES) {
        tooLong.run();
      } else if (length == 0) {
        payloads.accept(Buffer.buffer());
      } else {
        inPayload = true;
        parser.fixedSizeMode(length);
      }
    }
  }
}
