package org.cowslipdale.daemon.storage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.cowslipdale.core.consensus.HardState;
import org.cowslipdale.core.consensus.LogEntry;
import org.cowslipdale.core.consensus.Output;
import org.cowslipdale.core.consensus.Snapshot;
import org.cowslipdale.core.consensus.VoterSet;
import org.cowslipdale.core.control.ControlState;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.ViewCommand;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ControlStoreTests {

  private static final Set<String> VOTERS = Set.of("vm1", "vm2", "vm3");

  @TempDir Path parent;
  private Path folder;

  @BeforeEach
  void initialize() throws StorageException {
    folder = parent.resolve("data");
    ControlStore.initialize(folder, VOTERS);
  }

  @Test
  void restoresStoredStateWhenReopened() throws StorageException {
    HardState hardState = new HardState(VoterSet.INITIAL_IDENTITY, 7, "vm2");
    List<LogEntry> entries = entries(1, 5);
    try (ControlStore store = ControlStore.open(folder)) {
      store.store(new Output(hardState, null, 0, entries, List.of(), List.of()));
    }

    try (ControlStore store = ControlStore.open(folder)) {
      assertThat(store.hardState(), is(hardState));
      assertThat(store.entries(), is(entries));
      assertThat(store.snapshot(), is(Snapshot.initial(VoterSet.initial(VOTERS))));
    }
  }

  @Test
  void replacesEntriesOverwrittenByNewLeader() throws StorageException {
    LogEntry replacement = new LogEntry(3, 9, new LogEntry.Noop());
    try (ControlStore store = ControlStore.open(folder)) {
      store.store(new Output(null, null, 0, entries(1, 5), List.of(), List.of()));
      store.store(new Output(null, null, 2, List.of(replacement), List.of(), List.of()));
    }

    List<LogEntry> expected = new ArrayList<>(entries(1, 2));
    expected.add(replacement);
    try (ControlStore store = ControlStore.open(folder)) {
      assertThat(store.entries(), is(expected));
    }
  }

  @Test
  void retainsEntriesAfterSnapshot() throws StorageException {
    Snapshot snapshot = new Snapshot(3, 1, VoterSet.initial(VOTERS), ControlState.EMPTY);
    try (ControlStore store = ControlStore.open(folder)) {
      store.store(new Output(null, null, 0, entries(1, 5), List.of(), List.of()));
      store.compact(snapshot, entries(4, 5));
      store.store(new Output(null, null, 5, entries(6, 6), List.of(), List.of()));
    }

    try (ControlStore store = ControlStore.open(folder)) {
      assertThat(store.snapshot(), is(snapshot));
      assertThat(store.entries(), is(entries(4, 6)));
    }
  }

  @Test
  void discardsTornBlockAfterPromisedIndex() throws StorageException, IOException {
    try (ControlStore store = ControlStore.open(folder)) {
      store.store(new Output(null, null, 0, entries(1, 3), List.of(), List.of()));
    }
    Path log = folder.resolve("log");
    byte[] intact = Files.readAllBytes(log);
    byte[] torn = Arrays.copyOf(intact, intact.length + 11);
    torn[intact.length + 3] = 50;
    Files.write(log, torn);

    try (ControlStore store = ControlStore.open(folder)) {
      assertThat(store.entries(), is(entries(1, 3)));
      store.store(new Output(null, null, 3, entries(4, 4), List.of(), List.of()));
    }
    try (ControlStore store = ControlStore.open(folder)) {
      assertThat(store.entries(), is(entries(1, 4)));
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 5, 20, 1_000_000})
  void rejectsTruncatedLog(int removedBytes) throws StorageException, IOException {
    try (ControlStore store = ControlStore.open(folder)) {
      store.store(new Output(null, null, 0, entries(1, 3), List.of(), List.of()));
    }
    Path log = folder.resolve("log");
    byte[] intact = Files.readAllBytes(log);
    Files.write(log, Arrays.copyOf(intact, Math.max(0, intact.length - removedBytes)));

    assertDamaged();
  }

  @ParameterizedTest
  @ValueSource(strings = {"log", "state", "snapshot"})
  void rejectsFileWithFlippedBit(String file) throws StorageException, IOException {
    try (ControlStore store = ControlStore.open(folder)) {
      store.store(new Output(null, null, 0, entries(1, 3), List.of(), List.of()));
    }
    Path damaged = folder.resolve(file);
    byte[] bytes = Files.readAllBytes(damaged);
    bytes[bytes.length / 2] ^= 1;
    Files.write(damaged, bytes);

    assertDamaged();
  }

  @ParameterizedTest
  @ValueSource(strings = {"state", "snapshot"})
  void rejectsMissingFile(String file) throws IOException {
    Files.delete(folder.resolve(file));

    assertDamaged();
  }

  @Test
  void createsReplacementWithNewIdentity() throws StorageException {
    try (ControlStore store = ControlStore.open(parent.resolve("other"))) {
      assertThat(store.hardState().identity(), is(not(VoterSet.INITIAL_IDENTITY)));
      assertThat(store.snapshot().voters(), is(VoterSet.NONE));
    }
  }

  /**
   * Guards against a VM that never starts again after it was killed while it created its data
   * folder. A folder under the name of a temporary file ends the creation at that point.
   */
  @ParameterizedTest
  @ValueSource(strings = {"snapshot.new", "state.new"})
  void createsFolderAgainAfterUnfinishedCreation(String unwritableFile) throws Exception {
    Path unfinished = parent.resolve("unfinished");
    Path obstacle = unfinished.resolve(unwritableFile);
    Files.createDirectories(obstacle);
    Files.createFile(unfinished.resolve("creating"));
    assertThrows(StorageException.class, () -> ControlStore.open(unfinished));
    Files.delete(obstacle);

    assertThat(ControlStore.isEmpty(unfinished), is(true));
    try (ControlStore store = ControlStore.open(unfinished)) {
      assertThat(store.snapshot().voters(), is(VoterSet.NONE));
      store.store(new Output(null, null, 0, entries(1, 3), List.of(), List.of()));
    }
    assertThat(ControlStore.isEmpty(unfinished), is(false));
    try (ControlStore store = ControlStore.open(unfinished)) {
      assertThat(store.entries(), is(entries(1, 3)));
    }
  }

  @Test
  void rejectsSecondInitialization() {
    StorageException e =
        assertThrows(StorageException.class, () -> ControlStore.initialize(folder, VOTERS));

    assertThat(e.code(), is(ResultCode.DATA_ALREADY_INITIALIZED));
  }

  @Test
  void rejectsFolderInUse() throws StorageException {
    try (ControlStore store = ControlStore.open(folder)) {
      assertThat(store.entries().size(), is(0));
      StorageException e = assertThrows(StorageException.class, () -> ControlStore.open(folder));
      assertThat(e.code(), is(ResultCode.DATA_IN_USE));
    }
  }

  /**
   * After a failed sync, a later sync of the same file may succeed although data was lost. The
   * stored data must be written to new files.
   */
  @ParameterizedTest
  @ValueSource(strings = {"log", "state", "snapshot"})
  void recoveryReplacesFilesAndRetainsStoredData(String file) throws StorageException, IOException {
    HardState hardState = new HardState(VoterSet.INITIAL_IDENTITY, 7, "vm2");
    Snapshot snapshot = new Snapshot(2, 1, VoterSet.initial(VOTERS), ControlState.EMPTY);
    try (ControlStore store = ControlStore.open(folder)) {
      store.store(new Output(hardState, null, 0, entries(1, 5), List.of(), List.of()));
      store.compact(snapshot, entries(3, 5));
      Path obstacle = Files.createDirectory(folder.resolve("state.new"));
      assertThrows(
          StorageException.class,
          () -> store.store(new Output(null, null, 5, entries(6, 6), List.of(), List.of())));
      assertThrows(StorageException.class, store::recover);
      Files.delete(obstacle);
      Object fileBefore = fileKey(folder.resolve(file));

      store.recover();

      assertThat(fileKey(folder.resolve(file)), is(not(fileBefore)));
      assertThat(store.hardState(), is(hardState));
      assertThat(store.snapshot(), is(snapshot));
      store.store(new Output(null, null, 6, entries(7, 7), List.of(), List.of()));
    }
    try (ControlStore store = ControlStore.open(folder)) {
      assertThat(store.entries(), is(entries(3, 7)));
    }
  }

  private static Object fileKey(Path file) throws IOException {
    return Files.readAttributes(file, BasicFileAttributes.class).fileKey();
  }

  private void assertDamaged() {
    StorageException e = assertThrows(StorageException.class, () -> ControlStore.open(folder));
    assertThat(e.code(), is(ResultCode.DATA_DAMAGED));
  }

  private static List<LogEntry> entries(long firstIndex, long lastIndex) {
    List<LogEntry> entries = new ArrayList<>();
    for (long index = firstIndex; index <= lastIndex; index++) {
      ViewCommand command = new ViewCommand.WithdrawKey("r" + index, index, "k" + index);
      entries.add(new LogEntry(index, 1, new LogEntry.Command(command)));
    }
    return entries;
  }
}
