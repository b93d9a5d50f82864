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
 * Keeps a voter's hard state, log and snapshot in its data folder.
 *
 * <p>{@link #store} returns only after everything is synced. The file {@code state} names the last
 * entry that was promised; a log that ends before it has been damaged or truncated, and the daemon
 * refuses to start on it. A torn block after the last promised entry is what a crash leaves behind
 * and is dropped. This class is confined to one thread.
 */
public final class ControlStore implements AutoCloseable {

  private static final ObjectMapper CODEC = Codecs.messagePack(LogEntry.Payload.class);
  private static final String STATE = "state";
  private static final String SNAPSHOT = "snapshot";
  private static final String LOG = "log";
  private static final String LOCK = "lock";

  private final Path folder;
  private final FileChannel lockFile;
  private HardState hardState;
  private Snapshot snapshot;
  private final List<LogEntry> entries = new ArrayList<>();
  private final List<Long> ends = new ArrayList<>();
  private FileChannel log;

  /** What the file {@code state} holds. */
  private record State(HardState hardState, long promisedIndex) {}

  private ControlStore(Path folder, FileChannel lockFile) throws IOException, StorageException {
    this.folder = folder;
    this.lockFile = lockFile;
    State state = CODEC.readValue(CheckedFile.read(folder.resolve(STATE)), State.class);
    this.hardState = state.hardState();
    this.snapshot = CODEC.readValue(CheckedFile.read(folder.resolve(SNAPSHOT)), Snapshot.class);
    this.log =
        FileChannel.open(
            folder.resolve(LOG),
            StandardOpenOption.CREATE,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE);
    load(state.promisedIndex());
  }

  /**
   * Creates the data folder of a voter of a new fleet.
   *
   * @param folder the data folder; it must be absent or empty
   * @param voters the names of all voters
   * @throws StorageException if the folder is not empty or cannot be written
   */
  public static void initialize(Path folder, Collection<String> voters) throws StorageException {
    create(folder, VoterSet.INITIAL_IDENTITY, VoterSet.initial(voters));
  }

  /**
   * Opens a data folder. An absent or empty one becomes that of a replacement, which must be taken
   * in by the leader before it votes.
   *
   * @param folder the data folder
   * @throws StorageException if the folder is damaged, in use, or cannot be read or written
   */
  public static ControlStore open(Path folder) throws StorageException {
    try {
      if (isAbsentOrEmpty(folder)) {
        create(folder, UUID.randomUUID().toString(), VoterSet.NONE);
      }
      FileChannel lockFile = lock(folder);
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
   * Stores what a consensus output asks for and syncs it.
   *
   * @param output the output
   * @throws StorageException if it cannot be stored; nothing may be sent then
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
      throw new StorageException(
          ResultCode.DATA_NOT_WRITABLE, "the data folder cannot be written: " + e.getMessage(), e);
    }
  }

  /**
   * Replaces the snapshot and drops the entries that it covers.
   *
   * @param next the snapshot
   * @param remaining the entries after it
   * @throws StorageException if it cannot be stored
   */
  public void compact(Snapshot next, List<LogEntry> remaining) throws StorageException {
    try {
      replaceSnapshot(next, remaining);
      writeState();
    } catch (IOException e) {
      throw new StorageException(
          ResultCode.DATA_NOT_WRITABLE, "the data folder cannot be written: " + e.getMessage(), e);
    }
  }

  @Override
  public void close() {
    try {
      log.close();
      lockFile.close();
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
      byte[] first = CODEC.writeValueAsBytes(Snapshot.initial(voters));
      CheckedFile.replace(folder.resolve(SNAPSHOT), first);
      State state = new State(new HardState(identity, 0, null), 0);
      CheckedFile.replace(folder.resolve(STATE), CODEC.writeValueAsBytes(state));
    } catch (IOException e) {
      throw new StorageException(
          ResultCode.DATA_NOT_WRITABLE, "the data folder cannot be written: " + e.getMessage(), e);
    }
  }

  /**
   * Tells whether a data folder holds nothing yet.
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
    if (!Files.exists(folder)) {
      return true;
    }
    try (Stream<Path> files = Files.list(folder)) {
      return files.findAny().isEmpty();
    }
  }

  private static FileChannel lock(Path folder) throws IOException, StorageException {
    FileChannel channel =
        FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
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

  private void load(long promisedIndex) throws IOException, StorageException {
    ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(folder.resolve(LOG)));
    for (byte[] payload = CheckedFile.next(content);
        payload.length > 0;
        payload = CheckedFile.next(content)) {
      LogEntry entry = CODEC.readValue(payload, LogEntry.class);
      if (entry.index() > snapshot.index()) {
        if (entry.index() != lastIndex() + 1) {
          throw CheckedFile.damaged(folder.resolve(LOG));
        }
        entries.add(entry);
        ends.add((long) content.position());
      }
    }
    if (lastIndex() < promisedIndex) {
      throw CheckedFile.damaged(folder.resolve(LOG));
    }
    log.truncate(content.position());
    log.position(content.position());
  }

  private long lastIndex() {
    return snapshot.index() + entries.size();
  }

  private void append(long keepUpTo, List<LogEntry> appended) throws IOException {
    if (keepUpTo < lastIndex()) {
      int keep = (int) (keepUpTo - snapshot.index());
      entries.subList(keep, entries.size()).clear();
      ends.subList(keep, ends.size()).clear();
      writeState();
      log.truncate(ends.isEmpty() ? 0 : ends.getLast());
    }
    for (LogEntry entry : appended) {
      write(entry);
    }
    log.force(true);
  }

  private void write(LogEntry entry) throws IOException {
    ByteBuffer block = CheckedFile.frame(CODEC.writeValueAsBytes(entry));
    while (block.hasRemaining()) {
      log.write(block);
    }
    entries.add(entry);
    ends.add(log.position());
  }

  private void replaceSnapshot(Snapshot next, List<LogEntry> remaining) throws IOException {
    CheckedFile.replace(folder.resolve(SNAPSHOT), CODEC.writeValueAsBytes(next));
    snapshot = next;
    List<LogEntry> kept = List.copyOf(remaining);
    entries.clear();
    ends.clear();
    writeStateWith(next.index());
    rewriteLog(kept);
  }

  /** Replaces the log file, so that a crash leaves either the old or the new entries. */
  private void rewriteLog(List<LogEntry> kept) throws IOException {
    Path temporary = folder.resolve(LOG + ".new");
    FileChannel next =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING);
    log.close();
    log = next;
    for (LogEntry entry : kept) {
      write(entry);
    }
    log.force(true);
    Files.move(temporary, folder.resolve(LOG), StandardCopyOption.ATOMIC_MOVE);
    CheckedFile.syncFolder(folder.resolve(LOG));
  }

  private void writeState() throws IOException {
    writeStateWith(lastIndex());
  }

  private void writeStateWith(long promisedIndex) throws IOException {
    byte[] payload = CODEC.writeValueAsBytes(new State(hardState, promisedIndex));
    CheckedFile.replace(folder.resolve(STATE), payload);
  }
}
