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
 * Writes and reads checksummed blocks: a length of 4 bytes, a CRC-32C checksum of 4 bytes, and the
 * payload.
 *
 * <p>A file is replaced atomically: the new file is written next to the old one, synced and
 * renamed, and then the folder is synced.
 */
final class ChecksummedFile {

  /** The size of the header before each payload. */
  static final int HEADER_BYTES = 8;

  private ChecksummedFile() {}

  /** Returns a block that contains the given payload. */
  static ByteBuffer toBlock(byte[] payload) {
    ByteBuffer block = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    block.putInt(payload.length).putInt(checksum(payload)).put(payload).flip();
    return block;
  }

  /** Atomically replaces a file by one that contains a single block. */
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

  /** Syncs the folder of a file, so that a created or renamed file survives a crash. */
  static void syncFolder(Path file) throws IOException {
    try (FileChannel folder = FileChannel.open(file.toAbsolutePath().getParent())) {
      folder.force(true);
    }
  }

  /**
   * Reads a file that contains a single block.
   *
   * @throws StorageException if the file does not contain exactly one intact block
   */
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
   * @return the payload; empty, with the position unchanged, if there is no complete and intact
   *     block at the position
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
        "%s is damaged; move the data folder away and restart, then the VM rejoins the fleet"
            .formatted(file.getFileName()),
        null);
  }

  private static int checksum(byte[] payload) {
    CRC32C crc = new CRC32C();
    crc.update(payload);
    return (int) crc.getValue();
  }
}
