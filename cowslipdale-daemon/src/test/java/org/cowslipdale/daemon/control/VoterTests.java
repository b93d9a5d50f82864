package org.cowslipdale.daemon.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;
import static org.hamcrest.Matchers.sameInstance;

import java.io.IOException;
import java.lang.ref.WeakReference;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.consensus.LogEntry;
import org.cowslipdale.core.failover.PrimaryTrafficMonitor;
import org.cowslipdale.core.failover.PromotionMode;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.PositionReport;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.DeclaredDocument;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.peer.PeerMessage;
import org.cowslipdale.daemon.peer.PeerMessage.ChangeReply;
import org.cowslipdale.daemon.peer.PeerMessage.FleetQuery;
import org.cowslipdale.daemon.peer.PeerMessage.LeaseReply;
import org.cowslipdale.daemon.peer.PeerMessage.LeaseRequest;
import org.cowslipdale.daemon.peer.ViewUpdate;
import org.cowslipdale.daemon.storage.ControlStore;
import org.cowslipdale.daemon.version.VmClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the services of a control leader that is the only voter. */
class VoterTests {

  private static final String LEADER = "vm1";
  private static final String OTHER = "vm2";

  private final VmClock clock = new VmClock();
  private final ControlThread control = new ControlThread();
  @TempDir private Path folder;
  private ControlStore store;
  private final List<Long> announcedVersions = new ArrayList<>();
  private Voter voter;

  @BeforeEach
  void becomeLeader() throws Exception {
    Path data = folder.resolve("data");
    ControlStore.initialize(data, Set.of(LEADER));
    store = ControlStore.open(data);
    BackendAccess access =
        new BackendAccess.External(
            (server, timeoutMillis) -> {
              throw new BackendException(
                  false, new IllegalStateException("no backend servers in this test"));
            },
            (database, server, holder, fence, mayRequest) -> {
              throw new IllegalStateException("no promotions in this test");
            },
            new PrimaryTrafficMonitor());
    voter =
        new Voter(
            LEADER,
            Set.of(LEADER),
            store,
            new BackendRegistry(),
            new FailoverExecutor(LEADER, access, control),
            new PromotionMode.ByService(),
            clock,
            this::recordAnnouncement,
            () -> {});
    awaitLeadership();
    voter.register(vmRecord(OTHER));
  }

  @AfterEach
  void close() {
    store.close();
    control.close();
  }

  /**
   * The network may delay the release of a stopped process until the next process of the VM holds a
   * lease. The late release must not end that lease.
   */
  @Test
  void ignoresReleaseSentBeforeRenewal() {
    LeaseRequest release =
        new LeaseRequest(
            1, List.of(), List.of(), clock.millis(), true, PositionReport.NONE, null, false);
    LeaseRequest renewal =
        new LeaseRequest(
            1,
            List.of(),
            List.of(),
            release.sentMillis() + 1_000,
            false,
            PositionReport.NONE,
            null,
            false);

    assertThat(voter.handleLeaseRequest(OTHER, renewal).granted(), is(true));
    voter.handleLeaseRequest(OTHER, release);

    assertThat(voter.queryFleet(new FleetQuery(2, 0, false)).waitingFor(), contains(OTHER));
  }

  /**
   * Guards against a leader that is busy encoding while all VMs wait for their first lease: the
   * view is encoded once, not once for each VM.
   */
  @Test
  void encodesTheSameUpdateOnce() throws Exception {
    LeaseReply first = voter.handleLeaseRequest(OTHER, firstRequest(true));
    LeaseReply second = voter.handleLeaseRequest(OTHER, firstRequest(true));

    assertThat(second.encodedUpdate(), is(sameInstance(first.encodedUpdate())));
    assertThat(first.commands(), is(empty()));
    View updated = applied(first.update());
    assertThat(updated.version(), is(first.update().targetVersion()));
    assertThat(updated.vms().keySet(), hasItem(OTHER));
  }

  /** VMs of an earlier version read the commands or the view. */
  @Test
  void sendsPlainUpdateToVmThatReadsNoOther() throws Exception {
    LeaseReply encoded = voter.handleLeaseRequest(OTHER, firstRequest(true));
    LeaseReply plain = voter.handleLeaseRequest(OTHER, firstRequest(false));

    assertThat(plain.encodedUpdate(), is(nullValue()));
    assertThat(applied(plain.update()), is(applied(encoded.update())));
  }

  private LeaseRequest firstRequest(boolean acceptsEncodedUpdate) {
    return new LeaseRequest(
        0,
        List.of(),
        List.of(),
        clock.millis(),
        false,
        PositionReport.NONE,
        null,
        acceptsEncodedUpdate);
  }

  private static View applied(ViewUpdate update) {
    View view = update.view() == null ? View.EMPTY : update.view();
    for (ViewCommand command : update.commands()) {
      view = view.apply(command).view();
    }
    return view;
  }

  /**
   * Guards against long starts after many changes of the configuration. Each change stores the
   * whole configuration, and a start reads every entry after the snapshot.
   */
  @Test
  void fewConfigurationsRemainInTheLog() throws Exception {
    for (int version = 1; version <= 100; version++) {
      DeclaredDocument document = new DeclaredDocument(version, "{}");
      voter.propose(new ViewCommand.ReplaceConfiguration(document, Configuration.EMPTY, List.of()));
    }

    assertThat(store.entries().size(), is(lessThan(30)));
    assertThat(store.snapshot().state().view().document().version(), is(greaterThan(70L)));
  }

  /**
   * Guards against traffic that grows with the changes times the VMs, or with the square of the VMs
   * when all of them register: each VM that learns of a version requests it at once.
   */
  @Test
  void announcesConfigurationsAndMembersInQuickSuccessionTogether() throws Exception {
    voter.handleLeaseRequest(OTHER, firstRequest(true));
    announcedVersions.clear();
    for (int version = 1; version <= 40; version++) {
      DeclaredDocument document = new DeclaredDocument(version, "{}");
      voter.propose(new ViewCommand.ReplaceConfiguration(document, Configuration.EMPTY, List.of()));
      voter.register(vmRecord("vm" + (100 + version)));
    }
    for (int i = 0; i < 60; i++) {
      Thread.sleep(10);
      voter.tick();
    }

    assertThat(announcedVersions.size(), is(lessThan(6)));
    assertThat(announcedVersions.getLast(), is(applied(currentUpdate()).version()));
  }

  private ViewUpdate currentUpdate() throws IOException {
    return voter.handleLeaseRequest(OTHER, firstRequest(true)).update();
  }

  /**
   * Guards against an operator's change that is never answered. Whether the command was stored is
   * unknown after a failed write.
   */
  @Test
  void answersProposalWhoseStorageFails() throws Exception {
    store.close();

    CompletableFuture<ChangeReply> reply =
        voter.propose(new ViewCommand.RegisterVm(vmRecord("vm3"), 0));

    assertThat(reply.isDone(), is(true));
    assertThat(reply.get().failure(), is(ResultCode.CHANGE_OUTCOME_UNKNOWN));
  }

  /**
   * Guards against a voter that never votes again after its disk was full for a few seconds. Once
   * that has happened to a majority of the voters, there is no control leader any more.
   *
   * <p>A folder under the name of a temporary file makes every write of that file fail.
   */
  @ParameterizedTest
  @ValueSource(strings = {"state.new", "log.new", "snapshot.new"})
  void leadsAgainAfterItsDiskWasFull(String unwritableFile) throws Exception {
    Path obstacle = Files.createDirectory(folder.resolve("data").resolve(unwritableFile));
    long version = 1;
    while (version < 100 && proposeConfiguration(version).failure() == null) {
      version++;
    }
    assertThat(isLeader(), is(false));
    for (int i = 0; i < 40; i++) {
      Thread.sleep(10);
      voter.tick();
      assertThat(isLeader(), is(false));
    }

    Files.delete(obstacle);
    awaitLeadership();

    assertThat(proposeConfiguration(version + 1).result().code(), is(ResultCode.OK));
    store.close();
    try (ControlStore reopened = ControlStore.open(folder.resolve("data"))) {
      assertThat(reopened.entries(), is(store.entries()));
      assertThat(reopened.hardState(), is(store.hardState()));
      assertThat(reopened.snapshot(), is(store.snapshot()));
    }
  }

  /**
   * Guards against voters that run out of heap after some hundred changes of a large configuration.
   * All voters retain the same commands, so they would end together.
   */
  @Test
  void retainsFewReplacedConfigurations() {
    List<WeakReference<DeclaredDocument>> documents = new ArrayList<>();
    for (int version = 1; version <= 200; version++) {
      DeclaredDocument document = new DeclaredDocument(version, "{}");
      documents.add(new WeakReference<>(document));
      voter.propose(new ViewCommand.ReplaceConfiguration(document, Configuration.EMPTY, List.of()));
    }

    System.gc();
    long retained = documents.stream().filter(document -> document.get() != null).count();
    assertThat(retained, is(lessThan(30L)));
  }

  /** The log between two snapshots is bounded in bytes, whatever its number of entries. */
  @Test
  void retainsLogWithinMemoryLimit() {
    String text = "x".repeat(1 << 20);
    for (int version = 1; version <= 20; version++) {
      DeclaredDocument document = new DeclaredDocument(version, text);
      voter.propose(new ViewCommand.ReplaceConfiguration(document, Configuration.EMPTY, List.of()));
    }

    long bytes = store.entries().stream().mapToLong(LogEntry::estimatedBytes).sum();
    assertThat(bytes, is(lessThan(16L << 20)));
  }

  private ChangeReply proposeConfiguration(long version) throws Exception {
    DeclaredDocument document = new DeclaredDocument(version, "{}");
    return voter
        .propose(new ViewCommand.ReplaceConfiguration(document, Configuration.EMPTY, List.of()))
        .get();
  }

  private void awaitLeadership() throws InterruptedException {
    for (int i = 0; i < 200 && !isLeader(); i++) {
      Thread.sleep(10);
      voter.tick();
    }
  }

  private void recordAnnouncement(String recipient, PeerMessage message) {
    if (recipient.equals(OTHER) && message instanceof PeerMessage.ViewChanged change) {
      announcedVersions.add(change.version());
    }
  }

  private static VmRecord vmRecord(String name) {
    return new VmRecord(name, "a", "r", "address", 0, Long.MAX_VALUE, true, true);
  }

  private boolean isLeader() {
    return voter.queryFleet(new FleetQuery(0, 0, false)).leader() != null;
  }
}
