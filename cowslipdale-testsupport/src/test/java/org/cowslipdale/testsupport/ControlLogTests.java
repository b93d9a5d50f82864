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
import java.util.UUID;
import java.util.stream.Stream;
import org.cowslipdale.testsupport.caller.AdminClient;
import org.cowslipdale.testsupport.fleet.Fleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ControlLogTests {

  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(30);

  @TempDir Path folder;

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
          TestFleet.await(AWAIT_TIMEOUT, () -> output(first).contains("takes part as a voter")), is(true));

      Fleet.Vm second = fleet.fleet().vm("vm3");
      second.process().kill();
      deleteFilesIn(second.dataFolder());

      assertThat(TestFleet.await(AWAIT_TIMEOUT, () -> tryApplyChange(fleet.operator(1), 32)), is(true));
      assertThat(
          TestFleet.await(AWAIT_TIMEOUT, () -> configurationVersion(fleet.operator(2)) == 33), is(true));
    }
  }

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

  @Test
  void isolatedLeaderAcceptsNoChange() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      String leader = fleet.operator(1).status().path("leader").asText();
      int cut = Integer.parseInt(leader.substring(2));
      int other = cut == 1 ? 2 : 1;
      fleet.fleet().network().isolate(fleet.fleet().vm(leader).spec().failureDomain());

      JsonNode onTheFarSide = applyChange(fleet.operator(cut), 1);
      assertThat(TestFleet.await(AWAIT_TIMEOUT, () -> tryApplyChange(fleet.operator(other), 1)), is(true));

      assertThat(onTheFarSide.toString(), onTheFarSide.path("code").asInt() >= 4004, is(true));
      fleet.fleet().network().reconnect(fleet.fleet().vm(leader).spec().failureDomain());
      assertThat(
          TestFleet.await(AWAIT_TIMEOUT, () -> configurationVersion(fleet.operator(cut)) == 2), is(true));
      assertThat(burst(fleet.operator(cut)), is(1L));
    }
  }

  private static JsonNode applyChange(AdminClient operator, int change) throws IOException {
    String text = TestFleet.CONFIGURATION.replace("burst = 20", "burst = " + change);
    return operator.applyConfiguration(text, change, UUID.randomUUID().toString());
  }

  /** Applies a change whose number is the version on which it is based. */
  private static void awaitAccepted(AdminClient operator, int change) {
    assertThat(
        "change " + change, TestFleet.await(AWAIT_TIMEOUT, () -> tryApplyChange(operator, change)), is(true));
  }

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
