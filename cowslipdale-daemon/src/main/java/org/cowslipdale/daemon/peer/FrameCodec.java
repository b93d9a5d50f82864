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
import org.cowslipdale.core.gateway.GatewayReply;
import org.cowslipdale.core.gateway.GatewayRequest;
import org.cowslipdale.core.statement.Statement;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Encodes and decodes the frames that VMs exchange over TCP: a length of 4 bytes, followed by a
 * MessagePack payload. An empty frame is a heartbeat. A negative length marks a compressed payload;
 * compression mainly reduces the size of configurations.
 *
 * <p>The connection is closed if a frame exceeds the limit or cannot be decoded.
 */
final class FrameCodec {

  /** The maximum size of a payload. The largest view that the design provides for fits. */
  static final int MAX_FRAME_BYTES = 64 << 20;

  /** The minimum size of a payload to compress. Compression hardly reduces shorter ones. */
  private static final int COMPRESSION_THRESHOLD_BYTES = 400;

  private static final int LENGTH_BYTES = 4;
  private static final ObjectMapper CODEC =
      Codecs.compactMessagePack(
          PeerMessage.class,
          ConsensusMessage.class,
          LogEntry.Payload.class,
          ClaimReply.class,
          GatewayRequest.class,
          GatewayReply.class,
          Statement.class);

  private static final Logger LOG = LoggerFactory.getLogger(FrameCodec.class);

  /** The maximum size of a payload before the handshake; the handshake has some hundred bytes. */
  static final int MAX_HANDSHAKE_BYTES = 4 << 10;

  private FrameCodec() {}

  /** The maximum size of the payloads on a connection, which the handshake raises. */
  static final class FrameLimit {

    private int bytes = MAX_HANDSHAKE_BYTES;

    void raise() {
      bytes = MAX_FRAME_BYTES;
    }
  }

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

  /** Decodes a payload that is not empty and not compressed. */
  static PeerFrame decode(Buffer payload) throws IOException {
    return CODEC.readValue(payload.getBytes(), PeerFrame.class);
  }

  static byte[] compress(byte[] payload) throws IOException {
    ByteArrayOutputStream compressed = new ByteArrayOutputStream(payload.length / 2);
    try (OutputStream deflater = new DeflaterOutputStream(compressed)) {
      deflater.write(payload);
    }
    return compressed.toByteArray();
  }

  /** Decompresses a payload. The size limit also applies to the decompressed payload. */
  static byte[] decompress(byte[] compressed) throws IOException {
    return decompress(compressed, MAX_FRAME_BYTES);
  }

  private static byte[] decompress(byte[] compressed, int maxBytes) throws IOException {
    try (InputStream inflater = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
      byte[] payload = inflater.readNBytes(maxBytes + 1);
      if (payload.length > maxBytes) {
        throw new IOException("the decompressed payload exceeds the size limit");
      }
      return payload;
    }
  }

  /**
   * Creates a parser for received data.
   *
   * @param payloadHandler called with the decompressed payload of each frame; the payload of a
   *     heartbeat is empty
   * @param invalidFrameHandler called when a frame exceeds the size limit or cannot be decompressed
   */
  static RecordParser parser(Consumer<Buffer> payloadHandler, Runnable invalidFrameHandler) {
    FrameLimit limit = new FrameLimit();
    limit.raise();
    return parser(payloadHandler, invalidFrameHandler, limit);
  }

  /**
   * Creates a parser for received data.
   *
   * @param payloadHandler called with the decompressed payload of each frame
   * @param invalidFrameHandler called when a frame exceeds the limit or cannot be decompressed
   * @param limit the maximum size of payloads, compressed and decompressed
   */
  static RecordParser parser(
      Consumer<Buffer> payloadHandler, Runnable invalidFrameHandler, FrameLimit limit) {
    RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
    parser.maxRecordSize(MAX_FRAME_BYTES);
    parser.handler(new FrameReader(parser, payloadHandler, invalidFrameHandler, limit)::handle);
    return parser;
  }

  /** Alternates between reading the length of a frame and its payload. */
  private static final class FrameReader {

    private final RecordParser parser;
    private final Consumer<Buffer> payloadHandler;
    private final Runnable invalidFrameHandler;
    private final FrameLimit limit;
    private boolean failed;
    private boolean inPayload;
    private boolean compressed;

    FrameReader(
        RecordParser parser,
        Consumer<Buffer> payloadHandler,
        Runnable invalidFrameHandler,
        FrameLimit limit) {
      this.limit = limit;
      this.parser = parser;
      this.payloadHandler = payloadHandler;
      this.invalidFrameHandler = invalidFrameHandler;
    }

    void handle(Buffer record) {
      if (failed) {
        return;
      }
      if (inPayload) {
        inPayload = false;
        parser.fixedSizeMode(LENGTH_BYTES);
        deliver(record);
        return;
      }
      int lengthField = record.getInt(0);
      int length = Math.abs(lengthField);
      compressed = lengthField < 0;
      // Math.abs returns a negative number for Integer.MIN_VALUE.
      if (length < 0 || length > limit.bytes) {
        failed = true;
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
        payloadHandler.accept(
            compressed ? Buffer.buffer(decompress(record.getBytes(), limit.bytes)) : record);
      } catch (IOException e) {
        LOG.warn("closing a peer connection: a frame cannot be decompressed: {}", e.getMessage());
        invalidFrameHandler.run();
      }
    }
  }
}
