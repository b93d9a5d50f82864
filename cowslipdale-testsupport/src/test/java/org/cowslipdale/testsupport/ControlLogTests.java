package org.cowslipdale.testsupport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.List;
import java.util.UUID;
import java.util.stream.Stream;
import org.cowslipdale.testsupport.caller.AdminClient;
import org.cowslipdale.testsupport.fleet.Fleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Integration tests for the durability and consistency of the control log. */
class ControlLogTests {

  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(30);

  @TempDir Path folder;

  /**
   * Guards against lost changes when all VMs are killed after 600 changes, more than the 500 log
   * entries between two snapshots. Each VM must recover the latest configuration from its data
   * folder.
   */
  @Test
  void recoversLatestConfigurationAfterRestart() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      int changes = 600;
      for (int i = 1; i <= changes; i++) {
        awaitAccepted(fleet.operator(1 + i % 3), i);
      }
      for (Fleet.Vm vm : fleet.fleet().vms()) {
        vm.process().kill();
      }
      for (Fleet.Vm vm : fleet.fleet().vms()) {
        vm.process().start();
      }
      for (Fleet.Vm vm : fleet.fleet().vms()) {
        fleet.fleet().awaitReady(vm);
      }

      for (int vm = 1; vm <= 3; vm++) {
        JsonNode body = fleet.operator(vm).call("GET", "/v1/admin/configuration", "");
        assertThat(body.path("configurationVersion").asLong(), is(changes + 1L));
        assertThat(body.at("/configuration/customers/small/burst").asLong(), is((long) changes));
      }
    }
  }

  /**
   * Guards against the loss of committed changes when two data folders are lost in turn. The first
   * VM rejoins with an empty folder and becomes a voter; it must then hold every change, because
   * after the loss of the second VM the quorum depends on it.
   */
  @Test
  void retainsChangesWhenSecondVmFailsAfterFirstRejoins() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      for (int i = 1; i <= 30; i++) {
        awaitAccepted(fleet.operator(1), i);
      }
      Fleet.Vm first = fleet.fleet().vm("vm2");
      first.process().kill();
      deleteFilesIn(first.dataFolder());
      awaitAccepted(fleet.operator(1), 31);
      first.process().start();
      assertThat(
          TestFleet.await(AWAIT_TIMEOUT, () -> output(first).contains("takes part as a voter")),
          is(true));

      Fleet.Vm second = fleet.fleet().vm("vm3");
      second.process().kill();
      deleteFilesIn(second.dataFolder());

      assertThat(
          TestFleet.await(AWAIT_TIMEOUT, () -> tryApplyChange(fleet.operator(1), 32)), is(true));
      assertThat(
          TestFleet.await(AWAIT_TIMEOUT, () -> configurationVersion(fleet.operator(2)) == 33),
          is(true));
    }
  }

  /**
   * Guards against a VM that votes with an incomplete log. The last three bytes of its log are cut
   * off, and the process must exit with status 4 and error 6001.
   */
  @Test
  void refusesToStartOnTruncatedControlLog() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      Fleet.Vm vm = fleet.fleet().vm("vm2");
      vm.process().kill();
      Path log = vm.dataFolder().resolve("log");
      try (FileChannel channel = FileChannel.open(log, StandardOpenOption.WRITE)) {
        channel.truncate(Files.size(log) - 3);
      }

      vm.process().start();

      assertThat(vm.process().await(), is(4));
      assertThat(vm.process().output(), containsString("error 6001"));
    }
  }

  /**
   * Guards against two accepted changes on the same version. The control leader is isolated and
   * must reject a change, the other VMs elect a leader and accept one. After the network is healed,
   * the previous leader must hold the change of the others.
   */
  @Test
  void isolatedLeaderAcceptsNoChange() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      String leader = fleet.operator(1).status().path("leader").asText();
      int isolated = Integer.parseInt(leader.substring(2));
      int connected = isolated == 1 ? 2 : 1;
      fleet.fleet().network().isolate(fleet.fleet().vm(leader).spec().failureDomain());

      JsonNode isolatedReply = applyChange(fleet.operator(isolated), 1);
      assertThat(
          TestFleet.await(AWAIT_TIMEOUT, () -> tryApplyChange(fleet.operator(connected), 1)),
          is(true));

      assertThat(isolatedReply.toString(), isolatedReply.path("code").asInt() >= 4004, is(true));
      fleet.fleet().network().reconnect(fleet.fleet().vm(leader).spec().failureDomain());
      assertThat(
          TestFleet.await(AWAIT_TIMEOUT, () -> configurationVersion(fleet.operator(isolated)) == 2),
          is(true));
      assertThat(burst(fleet.operator(isolated)), is(1L));
    }
  }

  /**
   * Guards against a fleet without a control leader after the disks of two of its three voters were
   * full for a moment, one after the other.
   *
   * <p>A folder under the name of the temporary file makes every write of the file {@code state}
   * fail.
   */
  @Test
  void acceptsChangesAfterDisksOfTwoVmsWereFullInTurn() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      int change = 1;
      for (String name : List.of("vm2", "vm3")) {
        Fleet.Vm vm = fleet.fleet().vm(name);
        Path obstacle = Files.createDirectory(vm.dataFolder().resolve("state.new"));
        awaitAccepted(fleet.operator(1), change++);
        assertThat(
            TestFleet.await(
                AWAIT_TIMEOUT, () -> output(vm).contains("Failed to store the control log")),
            is(true));
        TestFleet.pause(500);
        Files.delete(obstacle);
        TestFleet.pause(2_000);
      }

      awaitAccepted(fleet.operator(1), change);
    }
  }

  private static JsonNode applyChange(AdminClient operator, int change) throws IOException {
    String text = TestFleet.CONFIGURATION.replace("burst = 20", "burst = " + change);
    return operator.applyConfiguration(text, change, UUID.randomUUID().toString());
  }

  /** Applies a change until it is accepted. Its number is the version on which it is based. */
  private static void awaitAccepted(AdminClient operator, int change) {
    assertThat(
        "change " + change,
        TestFleet.await(AWAIT_TIMEOUT, () -> tryApplyChange(operator, change)),
        is(true));
  }

  /**
   * Applies a change and returns whether it is accepted. A reply may be lost after the change was
   * accepted, so the configuration version counts, too.
   */
  private static boolean tryApplyChange(AdminClient operator, int change) {
    try {
      JsonNode result = applyChange(operator, change);
      return result.path("code").asText().equals("OK")
          || configurationVersion(operator) == change + 1;
    } catch (IOException e) {
      return false;
    }
  }

  private static long configurationVersion(AdminClient operator) {
    try {
      return operator
          .call("GET", "/v1/admin/configuration", "")
          .path("configurationVersion")
          .asLong();
    } catch (IOException e) {
      return -1;
    }
  }

  private static long burst(AdminClient operator) throws IOException {
    return operator
        .call("GET", "/v1/admin/configuration", "")
        .at("/configuration/customers/small/burst")
        .asLong();
  }

  private static String output(Fleet.Vm vm) {
    try {
      return vm.process().output();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void deleteFilesIn(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }
}
