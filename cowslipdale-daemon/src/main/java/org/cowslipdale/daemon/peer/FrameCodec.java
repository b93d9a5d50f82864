package org.cowslipdale.daemon.peer;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.function.Consumer;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.core.claim.ClaimReply;
import org.cowslipdale.core.consensus.ConsensusMessage;
import org.cowslipdale.core.consensus.LogEntry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Frames messages on TCP: 4 bytes length, then MessagePack. An empty frame is a heartbeat. A
 * negative length announces a payload that is compressed, which pays for configurations.
 *
 * <p>A frame longer than the limit or one that cannot be decoded is an error of the connection.
 */
final class FrameCodec {

  /** The largest frame that is accepted; a view of the design size fits. */
  static final int MAX_FRAME_BYTES = 64 << 20;

  /** Shorter payloads hardly shrink. */
  private static final int COMPRESSION_THRESHOLD_BYTES = 400;

  private static final int LENGTH_BYTES = 4;
  private static final ObjectMapper CODEC =
      Codecs.compactMessagePack(
          PeerMessage.class, ConsensusMessage.class, LogEntry.Payload.class, ClaimReply.class);

  private static final Logger LOG = LoggerFactory.getLogger(FrameCodec.class);

  private FrameCodec() {}

  static Buffer heartbeat() {
    return Buffer.buffer().appendInt(0);
  }

  static Buffer encode(PeerFrame frame) throws IOException {
    byte[] payload = CODEC.writeValueAsBytes(frame);
    if (payload.length >= COMPRESSION_THRESHOLD_BYTES) {
      byte[] compressed = compress(payload);
      return Buffer.buffer(LENGTH_BYTES + compressed.length)
          .appendInt(-compressed.length)
          .appendBytes(compressed);
    }
    return Buffer.buffer(LENGTH_BYTES + payload.length)
        .appendInt(payload.length)
        .appendBytes(payload);
  }

  static PeerFrame decode(Buffer payload) throws IOException {
    return CODEC.readValue(payload.getBytes(), PeerFrame.class);
  }

  private static byte[] compress(byte[] payload) throws IOException {
    ByteArrayOutputStream compressed = new ByteArrayOutputStream(payload.length / 2);
    try (OutputStream deflater = new DeflaterOutputStream(compressed)) {
      deflater.write(payload);
    }
    return compressed.toByteArray();
  }

  /** Returns the payload; the limit also holds for what it becomes. */
  private static Buffer decompress(Buffer compressed) throws IOException {
    try (InputStream inflater =
        new InflaterInputStream(new ByteArrayInputStream(compressed.getBytes()))) {
      byte[] payload = inflater.readNBytes(MAX_FRAME_BYTES + 1);
      if (payload.length > MAX_FRAME_BYTES) {
        throw new IOException("the message is too long");
      }
      return Buffer.buffer(payload);
    }
  }

  /** Returns a parser that passes the payload of every frame, also of heartbeats, on. */
  static RecordParser parser(Consumer<Buffer> payloads, Runnable tooLong) {
    RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
    parser.maxRecordSize(MAX_FRAME_BYTES);
    parser.handler(new FrameReader(parser, payloads, tooLong)::handle);
    return parser;
  }

  private static final class FrameReader {

    private final RecordParser parser;
    private final Consumer<Buffer> payloadHandler;
    private final Runnable invalidFrameHandler;
    private boolean inPayload;
    private boolean compressed;

    FrameReader(RecordParser parser, Consumer<Buffer> payloads, Runnable tooLong) {
      this.parser = parser;
      this.payloadHandler = payloads;
      this.invalidFrameHandler = tooLong;
    }

    void handle(Buffer record) {
      if (inPayload) {
        inPayload = false;
        parser.fixedSizeMode(LENGTH_BYTES);
        deliver(record);
        return;
      }
      int announced = record.getInt(0);
      int length = Math.abs(announced);
      compressed = announced < 0;
      if (length < 0 || length > MAX_FRAME_BYTES) {
        invalidFrameHandler.run();
      } else if (length == 0) {
        payloadHandler.accept(Buffer.buffer());
      } else {
        inPayload = true;
        parser.fixedSizeMode(length);
      }
    }

    private void deliver(Buffer record) {
      try {
        payloadHandler.accept(compressed ? decompress(record) : record);
      } catch (IOException e) {
        LOG.warn("closing a connection with a damaged message: {}", e.getMessage());
        invalidFrameHandler.run();
      }
    }
  }
}
