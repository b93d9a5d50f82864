package org.cowslipdale.testsupport.database;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** Command-line options of the stand-in database server. */
final class StandInOptions {

  @Parameter(names = "--database", required = true, description = "Name of the database")
  String database = "";

  @Parameter(names = "--name", required = true, description = "Unique name of the server")
  String name = "";

  @Parameter(names = "--listen", required = true, description = "Address to bind, IP:PORT")
  String listen = "";

  @Parameter(
      names = "--advertise",
      description = "Address to announce, IP:PORT; the bound address by default")
  String advertise = "";

  @Parameter(names = "--failure-domain", required = true, description = "Failure domain")
  String failureDomain = "";

  @Parameter(names = "--region", required = true, description = "Region")
  String region = "";

  @Parameter(
      names = "--announce-to",
      description = "Admin addresses of VMs, separated by commas",
      required = true)
  List<String> announceTo = new ArrayList<>();

  @Parameter(names = "--announce-token", required = true, description = "Token for announcements")
  String announceToken = "";

  @Parameter(names = "--slots", description = "Statements that run at a time")
  int slots = 5;

  @Parameter(names = "--connection-limit", description = "Connections that are accepted")
  int connectionLimit = 30;

  @Parameter(names = "--connect-millis", description = "Delay of the first call on a connection")
  long connectMillis = 10;

  @Parameter(names = "--service-millis", description = "Duration of a statement")
  long serviceMillis = 0;

  @Parameter(names = "--lag-millis", description = "Delay before replicated records are applied")
  long lagMillis = 0;

  @Parameter(names = "--data", description = "File that keeps the log over restarts")
  String data = "";

  @Parameter(names = "--run-log", description = "File to which every call is written")
  String runLog = "";

  @Parameter(
      names = "--translate",
      description = "Where connections go instead of an address: IP:PORT=IP:PORT, with commas")
  List<String> translate = new ArrayList<>();

  @Parameter(names = "--help", help = true, description = "Shows this help")
  boolean help;

  /** Returns the address to connect to for an announced address. */
  String translateAddress(String announced) {
    for (String pair : translate) {
      if (pair.startsWith(announced + "=")) {
        return pair.substring(announced.length() + 1);
      }
    }
    return announced;
  }
}
