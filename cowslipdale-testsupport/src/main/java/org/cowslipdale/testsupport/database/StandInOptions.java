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

  @Parameter(names = "--slots", description = "Maximum number of statements that run concurrently")
  int slots = 5;

  @Parameter(
      names = "--connection-limit",
      description = "Connection limit that the server announces")
  int connectionLimit = 30;

  @Parameter(names = "--connect-millis", description = "Delay of the first call on a connection")
  long connectMillis = 10;

  @Parameter(names = "--service-millis", description = "Duration of a statement")
  long serviceMillis = 0;

  @Parameter(names = "--lag-millis", description = "Delay before replicated records are applied")
  long lagMillis = 0;

  @Parameter(names = "--data", description = "File that stores the log across restarts")
  String data = "";

  @Parameter(names = "--run-log", description = "File to which every call is written")
  String runLog = "";

  @Parameter(
      names = "--translate",
      description =
          "Replacements for addresses to connect to, ADDRESS=REPLACEMENT, separated by commas")
  List<String> translate = new ArrayList<>();

  @Parameter(names = "--help", help = true, description = "Shows this help")
  boolean help;

  /**
   * Returns the address to connect to in order to reach an announced address.
   *
   * @return the replacement given by {@code --translate}, or the announced address itself
   */
  String translateAddress(String announced) {
    for (String pair : translate) {
      if (pair.startsWith(announced + "=")) {
        return pair.substring(announced.length() + 1);
      }
    }
    return announced;
  }
}
