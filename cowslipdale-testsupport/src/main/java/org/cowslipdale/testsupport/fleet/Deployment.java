package org.cowslipdale.testsupport.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Which processes a fleet has and where they run.
 *
 * @param vms the VMs
 * @param servers the backend servers
 */
public record Deployment(List<Vm> vms, List<Server> servers) {

  /** Copies the lists. */
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
   * @param voter whether it keeps the control log
   */
  public record Vm(String name, String failureDomain, String region, boolean voter) {}

  /**
   * A backend server.
   *
   * @param database its database
   * @param name its name
   * @param failureDomain its failure domain
   * @param region its region
   * @param options further options of the stand-in
   */
  public record Server(
      String database, String name, String failureDomain, String region, List<String> options) {

    /** Copies the options. */
    public Server {
      options = List.copyOf(options);
    }
  }

  /**
   * Returns the shape of today's users: three failure domains in two regions, one voter and one
   * server of each database per domain.
   *
   * @param vmsPerDomain VMs in each failure domain
   * @param databases the names of the databases
   * @param serverOptions further options of every stand-in server
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
