package org.cowslipdale.daemon.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;
import org.cowslipdale.core.result.ResultCode;

/**
 * Writes and reads checksummed blocks: 4 bytes length, 4 bytes CRC-32C, then the payload.
 *
 * <p>A whole file is replaced atomically: written beside the old one, synced, renamed, and the
 * folder synced.
 */
final class ChecksummedFile {

  /** The bytes before every payload. */
  static final int HEADER_BYTES = 8;

  private ChecksummedFile() {}

  /** Returns a payload with its header. */
  static ByteBuffer toBlock(byte[] payload) {
    ByteBuffer block = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    block.putInt(payload.length).putInt(checksum(payload)).put(payload).flip();
    return block;
  }

  /** Replaces a file by one block. */
  static void replace(Path file, byte[] payload) throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + ".new");
    try (FileChannel channel =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      ByteBuffer block = toBlock(payload);
      while (block.hasRemaining()) {
        channel.write(block);
      }
      channel.force(true);
    }
    Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    syncFolder(file);
  }

  /** Makes the names in a file's folder durable. */
  static void syncFolder(Path file) throws IOException {
    try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent())) {
      folder.force(true);
    }
  }

  /** Reads a file of one block. */
  static byte[] read(Path file) throws IOException, StorageException {
    ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
    byte[] payload = readNextBlock(content);
    if (payload.length == 0 || content.hasRemaining()) {
      throw damagedFileException(file);
    }
    return payload;
  }

  /**
   * Reads the next block.
   *
   * @return the payload; empty, with the position unchanged, if no complete and intact block
   *     follows
   */
  static byte[] readNextBlock(ByteBuffer content) {
    int start = content.position();
    if (content.remaining() >= HEADER_BYTES) {
      int length = content.getInt();
      int expected = content.getInt();
      if (length > 0 && length <= content.remaining()) {
        byte[] payload = new byte[length];
        content.get(payload);
        if (checksum(payload) == expected) {
          return payload;
        }
      }
    }
    content.position(start);
    return new byte[0];
  }

  static StorageException damagedFileException(Path file) {
    return new StorageException(
        ResultCode.DATA_DAMAGED,
        "%s is damaged; move the data folder away and start again, the VM then rejoins"
            .formatted(file.getFileName()),
        null);
  }

  private static int checksum(byte[] payload) {
    CRC32C crc = new CRC32C();
    crc.update(payload);
    return (int) crc.getValue();
  }
}
