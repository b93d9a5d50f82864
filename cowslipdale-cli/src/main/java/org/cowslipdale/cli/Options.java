package org.cowslipdale.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** The options and commands of the tool. */
final class Options {

  @Parameter(
      names = "--server",
      description =
          "Admin addresses of VMs, separated by commas, tried in turn; default: the environment"
              + " variable COWSLIPDALE_SERVER")
  List<String> servers = new ArrayList<>();

  @Parameter(
      names = "--token-file",
      description =
          "File with the administration token; default: the environment variable"
              + " COWSLIPDALE_TOKEN")
  String tokenFile = "";

  @Parameter(names = "--json", description = "Print JSON")
  boolean json;

  @Parameter(
      names = "--request-id",
      description = "Identifier of the change; resend a change with the same one")
  String requestId = "";

  @Parameter(
      names = "--wait",
      description = "Seconds to wait until a change is in force everywhere; 0: do not wait")
  int waitSeconds = 20;

  @Parameter(names = "--version", description = "Print the version and exit")
  boolean version;

  @Parameter(names = "--help", help = true, description = "Print this help and exit")
  boolean help;

  /** Applies a configuration file. */
  @Parameters(commandDescription = "Apply a configuration file: apply fleet.ini --expect 3")
  static final class Apply {

    @Parameter(description = "FILE", required = true)
    String file = "";

    @Parameter(
        names = "--expect",
        description = "Configuration version on which the file is based; default: the current one")
    long expect = -1;

    @Parameter(names = "--dry-run", description = "Check the file and print the difference only")
    boolean dryRun;
  }

  /** Explains a request from log files; asks no VM. */
  @Parameters(
      commandDescription =
          "Merge what the logs of several VMs tell of a request: explain ID vm1.log vm2.log")
  static final class Explain {

    @Parameter(description = "ID FILE...", required = true)
    List<String> idAndFiles = new ArrayList<>();

    @Parameter(
        names = "--around",
        description = "Seconds before and after the request from which other decisions are shown")
    int aroundSeconds = 5;
  }

  /** Shows the configuration. */
  @Parameters(commandDescription = "Show the configuration in force")
  static final class Show {}

  /** Shows recent changes. */
  @Parameters(commandDescription = "Show recent changes and their results")
  static final class History {}

  /** Shows the state of the fleet. */
  @Parameters(commandDescription = "Show VMs, leases, database groups and servers")
  static final class Status {}

  /** Adds a key. */
  @Parameters(commandDescription = "Give a customer a key, printed once: key-add acme")
  static final class KeyAdd {

    @Parameter(description = "CUSTOMER", required = true)
    String customer = "";
  }

  /** Withdraws a key. */
  @Parameters(
      commandDescription =
          "Withdraw a key and report when it works nowhere any more: key-withdraw 3f2a")
  static final class KeyWithdraw {

    @Parameter(description = "KEY-ID", required = true)
    String keyId = "";
  }

  /** Lists the keys. */
  @Parameters(commandDescription = "List the ids and customers of the keys in use")
  static final class KeyList {}

  /** Removes a VM. */
  @Parameters(commandDescription = "Remove a VM that will not come back: vm-remove vm4")
  static final class VmRemove {

    @Parameter(description = "VM", required = true)
    String vm = "";
  }

  /** Drains a VM. */
  @Parameters(
      commandDescription = "Take the VM at the address given with --server out of the balancer")
  static final class Drain {}

  /** Ends the draining of a VM. */
  @Parameters(commandDescription = "Put the VM at the address given with --server back")
  static final class Undrain {}

  /** Watches a change. */
  @Parameters(commandDescription = "Watch a version of the view come into force: watch 17")
  static final class Watch {

    @Parameter(description = "VERSION", required = true)
    long version;
  }
}
