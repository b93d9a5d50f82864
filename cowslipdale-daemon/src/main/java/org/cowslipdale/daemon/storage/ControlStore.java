package org.cowslipdale.daemon.storage;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.core.consensus.HardState;
import org.cowslipdale.core.consensus.LogEntry;
import org.cowslipdale.core.consensus.Output;
import org.cowslipdale.core.consensus.Snapshot;
import org.cowslipdale.core.consensus.VoterSet;
import org.cowslipdale.core.result.ResultCode;

/**
 * Stores the hard state, log and snapshot of a voter in its data folder.
 *
 * <p>{@link #store} returns only after all data is synced to disk. The file {@code state} contains
 * the promised index: the index of the last entry that was reported as stored. A log that ends
 * before this entry is damaged or truncated, and the folder cannot be opened. A torn block after
 * this entry is the result of a crash during a write and is discarded. The file {@code creating}
 * exists while the folder is created; a folder that contains it was never used and counts as empty.
 * After a failed write, nothing is stored until {@link #recover} has succeeded. This class is
 * confined to one thread.
 */
public final class ControlStore implements AutoCloseable {

  private static final ObjectMapper CODEC = Codecs.messagePack(LogEntry.Payload.class);
  private static final String STATE_FILE = "state";
  private static final String SNAPSHOT_FILE = "snapshot";
  private static final String LOG_FILE = "log";
  private static final String LOCK_FILE = "lock";
  private static final String CREATING_FILE = "creating";

  private final Path folder;
  private final FileChannel lockChannel;
  private HardState hardState;
  private Snapshot snapshot;
  private final List<LogEntry> entries = new ArrayList<>();

  /** The offset in the log file at which each of {@link #entries} ends. */
  private final List<Long> endOffsets = new ArrayList<>();

  private FileChannel logChannel;

  /**
   * The content of the file {@code state}.
   *
   * @param hardState the hard state
   * @param promisedIndex the index of the last entry that was reported as stored
   */
  private record State(HardState hardState, long promisedIndex) {}

  private ControlStore(Path folder, FileChannel lockFile) throws IOException, StorageException {
    this.folder = folder;
    this.lockChannel = lockFile;
    State state = readState(folder);
    this.hardState = state.hardState();
    this.snapshot = readSnapshot(folder);
    this.logChannel = openLog(folder);
    loadLog(state.promisedIndex());
  }

  /**
   * Creates the data folder of a voter of a new fleet.
   *
   * @param folder the data folder; it must be absent or empty, or left by an unfinished creation
   * @param voters the names of all voters
   * @throws StorageException if the folder is not empty or cannot be written
   */
  public static void initialize(Path folder, Collection<String> voters) throws StorageException {
    create(folder, VoterSet.INITIAL_IDENTITY, VoterSet.initial(voters));
  }

  /**
   * Opens a data folder. An absent or empty folder, or one that was left by an unfinished creation,
   * is initialized for a replacement, which cannot vote until the leader has added it to the
   * voters.
   *
   * @param folder the data folder
   * @throws StorageException if the folder is damaged, in use, or cannot be read or written
   */
  public static ControlStore open(Path folder) throws StorageException {
    try {
      if (isAbsentOrEmpty(folder)) {
        create(folder, UUID.randomUUID().toString(), VoterSet.NONE);
      }
      FileChannel lockFile = acquireLock(folder);
      return new ControlStore(folder, lockFile);
    } catch (IOException e) {
      throw new StorageException(
          ResultCode.DATA_DAMAGED, "the data folder cannot be read: " + e.getMessage(), e);
    }
  }

  /** Returns the stored hard state. */
  public HardState hardState() {
    return hardState;
  }

  /** Returns the stored snapshot. */
  public Snapshot snapshot() {
    return snapshot;
  }

  /** Returns the stored entries after the snapshot. */
  public List<LogEntry> entries() {
    return List.copyOf(entries);
  }

  /**
   * Stores the data that a consensus output contains and syncs it to disk.
   *
   * @param output the output
   * @throws StorageException if it cannot be stored; the messages of the output must not be sent
   *     then
   */
  public void store(Output output) throws StorageException {
    try {
      if (output.snapshot() != null) {
        replaceSnapshot(output.snapshot(), List.of());
      }
      if (!output.appended().isEmpty()) {
        append(output.retainUpToIndex(), output.appended());
      }
      if (output.hardState() != null) {
        hardState = output.hardState();
      }
      writeState();
    } catch (IOException e) {
      throw notWritableException(e);
    }
  }

  /**
   * Replaces the snapshot and removes the log entries that it covers.
   *
   * @param newSnapshot the new snapshot
   * @param remaining the entries after the snapshot
   * @throws StorageException if it cannot be stored
   */
  public void compact(Snapshot newSnapshot, List<LogEntry> remaining) throws StorageException {
    try {
      replaceSnapshot(newSnapshot, remaining);
      writeState();
    } catch (IOException e) {
      throw notWritableException(e);
    }
  }

  /**
   * Reads the data folder again after a write has failed, and writes its content to new files.
   *
   * <p>A failed write may have stored a part of its data. After a failed sync, a later sync of the
   * same file may succeed although data was lost. Therefore the content counts as stored only once
   * it has been synced in new files.
   *
   * @throws StorageException if the folder still cannot be written, or is damaged
   */
  public void recover() throws StorageException {
    try {
      State state = readState(folder);
      hardState = state.hardState();
      snapshot = readSnapshot(folder);
      logChannel.close();
      logChannel = openLog(folder);
      entries.clear();
      endOffsets.clear();
      loadLog(state.promisedIndex());
      ChecksummedFile.replace(folder.resolve(SNAPSHOT_FILE), CODEC.writeValueAsBytes(snapshot));
      rewriteLog(entries);
      writeState();
    } catch (IOException e) {
      throw notWritableException(e);
    }
  }

  @Override
  public void close() {
    try {
      logChannel.close();
      lockChannel.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void create(Path folder, String identity, VoterSet voters)
      throws StorageException {
    try {
      if (!isAbsentOrEmpty(folder)) {
        throw new StorageException(
            ResultCode.DATA_ALREADY_INITIALIZED,
            "the data folder %s is not empty".formatted(folder.getFileName()),
            null);
      }
      Files.createDirectories(folder);
      Path marker = folder.resolve(CREATING_FILE);
      if (!Files.exists(marker)) {
        Files.createFile(marker);
      }
      ChecksummedFile.syncFolder(marker);
      byte[] initialSnapshot = CODEC.writeValueAsBytes(Snapshot.initial(voters));
      ChecksummedFile.replace(folder.resolve(SNAPSHOT_FILE), initialSnapshot);
      State state = new State(new HardState(identity, 0, null), 0);
      ChecksummedFile.replace(folder.resolve(STATE_FILE), CODEC.writeValueAsBytes(state));
      Files.delete(marker);
      ChecksummedFile.syncFolder(marker);
    } catch (IOException e) {
      throw notWritableException(e);
    }
  }

  private static StorageException notWritableException(IOException cause) {
    return new StorageException(
        ResultCode.DATA_NOT_WRITABLE,
        "the data folder cannot be written: " + cause.getMessage(),
        cause);
  }

  private static State readState(Path folder) throws IOException, StorageException {
    return CODEC.readValue(ChecksummedFile.read(folder.resolve(STATE_FILE)), State.class);
  }

  private static Snapshot readSnapshot(Path folder) throws IOException, StorageException {
    return CODEC.readValue(ChecksummedFile.read(folder.resolve(SNAPSHOT_FILE)), Snapshot.class);
  }

  private static FileChannel openLog(Path folder) throws IOException {
    return FileChannel.open(
        folder.resolve(LOG_FILE),
        StandardOpenOption.CREATE,
        StandardOpenOption.READ,
        StandardOpenOption.WRITE);
  }

  /**
   * Returns whether a data folder is absent or empty, or was left by an unfinished creation.
   *
   * @param folder the data folder
   * @throws StorageException if the folder cannot be read
   */
  public static boolean isEmpty(Path folder) throws StorageException {
    try {
      return isAbsentOrEmpty(folder);
    } catch (IOException e) {
      throw new StorageException(
          ResultCode.DATA_DAMAGED, "the data folder cannot be read: " + e.getMessage(), e);
    }
  }

  private static boolean isAbsentOrEmpty(Path folder) throws IOException {
    if (!Files.exists(folder) || Files.exists(folder.resolve(CREATING_FILE))) {
      return true;
    }
    try (Stream<Path> files = Files.list(folder)) {
      return files.findAny().isEmpty();
    }
  }

  private static FileChannel acquireLock(Path folder) throws IOException, StorageException {
    FileChannel channel =
        FileChannel.open(
            folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock;
    try {
      lock = channel.tryLock();
    } catch (OverlappingFileLockException e) {
      lock = null;
    }
    if (lock == null) {
      channel.close();
      throw new StorageException(
          ResultCode.DATA_IN_USE, "another process uses the data folder", null);
    }
    return channel;
  }

  private void loadLog(long promisedIndex) throws IOException, StorageException {
    ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(folder.resolve(LOG_FILE)));
    for (byte[] payload = ChecksummedFile.readNextBlock(content);
        payload.length > 0;
        payload = ChecksummedFile.readNextBlock(content)) {
      LogEntry entry = CODEC.readValue(payload, LogEntry.class);
      if (entry.index() > snapshot.index()) {
        if (entry.index() != lastIndex() + 1) {
          throw ChecksummedFile.damagedFileException(folder.resolve(LOG_FILE));
        }
        entries.add(entry);
        endOffsets.add((long) content.position());
      }
    }
    if (lastIndex() < promisedIndex) {
      throw ChecksummedFile.damagedFileException(folder.resolve(LOG_FILE));
    }
    logChannel.truncate(content.position());
    logChannel.position(content.position());
  }

  private long lastIndex() {
    return snapshot.index() + entries.size();
  }

  private void append(long retainUpToIndex, List<LogEntry> appended) throws IOException {
    if (retainUpToIndex < lastIndex()) {
      int retained = (int) (retainUpToIndex - snapshot.index());
      entries.subList(retained, entries.size()).clear();
      endOffsets.subList(retained, endOffsets.size()).clear();
      // Lowers the promised index first: after a crash, a shorter log would count as damaged.
      writeState();
      logChannel.truncate(endOffsets.isEmpty() ? 0 : endOffsets.getLast());
    }
    for (LogEntry entry : appended) {
      writeEntry(entry);
    }
    logChannel.force(true);
  }

  private void writeEntry(LogEntry entry) throws IOException {
    ByteBuffer block = ChecksummedFile.toBlock(CODEC.writeValueAsBytes(entry));
    while (block.hasRemaining()) {
      logChannel.write(block);
    }
    entries.add(entry);
    endOffsets.add(logChannel.position());
  }

  private void replaceSnapshot(Snapshot newSnapshot, List<LogEntry> remaining) throws IOException {
    ChecksummedFile.replace(folder.resolve(SNAPSHOT_FILE), CODEC.writeValueAsBytes(newSnapshot));
    snapshot = newSnapshot;
    writeStateWith(newSnapshot.index());
    rewriteLog(remaining);
  }

  /**
   * Replaces the log file atomically: after a crash it contains either the old or the new entries.
   */
  private void rewriteLog(List<LogEntry> remaining) throws IOException {
    List<LogEntry> retained = List.copyOf(remaining);
    entries.clear();
    endOffsets.clear();
    Path temporary = folder.resolve(LOG_FILE + ".new");
    FileChannel newChannel =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING);
    logChannel.close();
    logChannel = newChannel;
    for (LogEntry entry : retained) {
      writeEntry(entry);
    }
    logChannel.force(true);
    Files.move(temporary, folder.resolve(LOG_FILE), StandardCopyOption.ATOMIC_MOVE);
    ChecksummedFile.syncFolder(folder.resolve(LOG_FILE));
  }

  private void writeState() throws IOException {
    writeStateWith(lastIndex());
  }

  private void writeStateWith(long promisedIndex) throws IOException {
    byte[] payload = CODEC.writeValueAsBytes(new State(hardState, promisedIndex));
    ChecksummedFile.replace(folder.resolve(STATE_FILE), payload);
  }
}
