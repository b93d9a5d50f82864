package org.cowslipdale.testsupport.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * The processes of a fleet and their placement in failure domains and regions.
 *
 * @param vms the VMs
 * @param servers the backend servers
 */
public record Deployment(List<Vm> vms, List<Server> servers) {

  /** Creates a deployment with copies of the lists. */
  public Deployment {
    vms = List.copyOf(vms);
    servers = List.copyOf(servers);
  }

  /**
   * A VM.
   *
   * @param name its name
   * @param failureDomain its failure domain
   * @param region its region
   * @param voter whether it is a voter, which stores the control log
   */
  public record Vm(String name, String failureDomain, String region, boolean voter) {}

  /**
   * A backend server.
   *
   * @param database its database
   * @param name its name
   * @param failureDomain its failure domain
   * @param region its region
   * @param options additional command-line options of the stand-in server
   */
  public record Server(
      String database, String name, String failureDomain, String region, List<String> options) {

    /** Creates a server with a copy of the options. */
    public Server {
      options = List.copyOf(options);
    }
  }

  /**
   * Returns the deployment that current users have: three failure domains in two regions, with one
   * voter and one server of each database per failure domain.
   *
   * @param vmsPerDomain the number of VMs in each failure domain
   * @param databases the names of the databases
   * @param serverOptions additional command-line options of every stand-in server
   */
  public static Deployment threeDomains(
      int vmsPerDomain, List<String> databases, List<String> serverOptions) {
    List<String> domains = List.of("praha-a", "praha-b", "brno-a");
    List<Vm> vms = new ArrayList<>();
    List<Server> servers = new ArrayList<>();
    for (int round = 0; round < vmsPerDomain; round++) {
      for (String domain : domains) {
        vms.add(new Vm("vm" + (vms.size() + 1), domain, region(domain), round == 0));
      }
    }
    for (String database : databases) {
      int number = 1;
      for (String domain : domains) {
        String name = database + "-" + number++;
        servers.add(new Server(database, name, domain, region(domain), serverOptions));
      }
    }
    return new Deployment(vms, servers);
  }

  private static String region(String domain) {
    return domain.startsWith("praha") ? "praha" : "brno";
  }
}
