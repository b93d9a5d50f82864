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
      description = "Identifier of the change; use the same one to resend a change")
  String requestId = "";

  @Parameter(
      names = "--wait",
      description = "Seconds to wait until a change is in force on all VMs; 0: do not wait")
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

  /** Explains a request from log files, without calling a VM. */
  @Parameters(
      commandDescription =
          "Merge the log lines of several VMs about a request: explain ID vm1.log vm2.log")
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

  /** Shows the status of the fleet. */
  @Parameters(commandDescription = "Show VMs, leases, database groups and servers")
  static final class Status {}

  /** Adds a key. */
  @Parameters(
      commandDescription =
          "Add a key for a customer and print it; it cannot be shown again: key-add acme")
  static final class KeyAdd {

    @Parameter(description = "CUSTOMER", required = true)
    String customer = "";
  }

  /** Withdraws a key. */
  @Parameters(
      commandDescription =
          "Withdraw a key and report when no VM accepts it any longer: key-withdraw 3f2a")
  static final class KeyWithdraw {

    @Parameter(description = "KEY-ID", required = true)
    String keyId = "";
  }

  /** Lists the keys. */
  @Parameters(commandDescription = "List the ids and customers of the keys in use")
  static final class KeyList {}

  /** Removes a VM. */
  @Parameters(commandDescription = "Remove a VM that will not return: vm-remove vm4")
  static final class VmRemove {

    @Parameter(description = "VM", required = true)
    String vm = "";
  }

  /** Begins or ends the evacuation of a failure domain. */
  @Parameters(
      commandDescription =
          "Send nothing more to the servers of a failure domain: evacuate zone-a; withdraw the"
              + " order with evacuate --end zone-a")
  static final class Evacuate {

    @Parameter(description = "DOMAIN", required = true)
    String failureDomain = "";

    @Parameter(names = "--end", description = "End the evacuation")
    boolean end;
  }

  /** Drains a VM. */
  @Parameters(
      commandDescription =
          "Drain the VM given with --server: it reports itself not ready to the load balancer")
  static final class Drain {}

  /** Ends the draining of a VM. */
  @Parameters(commandDescription = "End the draining of the VM given with --server")
  static final class Undrain {}

  /** Waits until a version of the view is in force. */
  @Parameters(
      commandDescription = "Wait until a version of the view is in force on all VMs: watch 17")
  static final class Watch {

    @Parameter(description = "VERSION", required = true)
    long version;
  }
}
