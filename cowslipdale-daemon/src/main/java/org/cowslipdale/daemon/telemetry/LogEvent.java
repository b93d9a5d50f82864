package org.cowslipdale.daemon.telemetry;

/** Events of the decision log; {@code docs/OPERATIONS.md} lists each event with its fields. */
public enum LogEvent {
  /** The daemon has started and is serving. */
  DAEMON_STARTED("daemon-started"),
  /** A graceful shutdown has started. */
  DAEMON_STOPPING("daemon-stopping"),
  /** The daemon has stopped. */
  DAEMON_STOPPED("daemon-stopped"),
  /** The settings file has changed and was reloaded. */
  SETTINGS_RELOADED("settings-reloaded"),
  /** A session could not be opened. */
  SESSION_REFUSED("session-refused"),
  /** A statement was completed successfully. */
  STATEMENT_DONE("statement-done"),
  /** A statement was rejected or its outcome is unknown. */
  STATEMENT_REFUSED("statement-refused"),
  /** A statement was refused, or waited for more than half of its target latency. */
  STATEMENT_WAITED("statement-waited"),
  /** A statement was refused, because no suitable server is in its home regions. */
  HOME_REGION_REFUSED("home-region-refused"),
  /** A statement was refused, because this VM may not send a cold server another one in time. */
  COLD_SERVER_LIMITED("cold-server-limited"),
  /** The connection of a client was closed because it exceeded a limit. */
  CLIENT_CLOSED("client-closed"),
  /** A statement was refused before its limit, because it was not expected to run in time. */
  ADMISSION_REFUSED("admission-refused"),
  /** A server rejected a statement, which is retried if its time limit allows. */
  SERVER_DECLINED("server-declined"),
  /** No connection to a server could be opened. */
  SERVER_UNREACHABLE("server-unreachable"),
  /** A connection to a server failed or timed out while a statement was in progress. */
  SERVER_CONNECTION_BROKEN("server-connection-broken"),
  /** A gateway did not run a statement, which is repeated elsewhere or whose outcome is unknown. */
  RELAY_FAILED("relay-failed"),
  /** A gateway is avoided, because it did not answer or declined a request. */
  GATEWAY_AVOIDED("gateway-avoided"),
  /** A backend server was registered, became reachable again, or changed its role or state. */
  SERVER_CHANGED("server-changed"),
  /** This VM reported a primary as unreachable. */
  PRIMARY_SUSPECTED("primary-suspected"),
  /** A promotion entered its next phase. */
  PROMOTION_PHASE("promotion-phase"),
  /** This VM obtained a lease on the view after it had none. */
  LEASE_GAINED("lease-gained"),
  /** The lease of this VM on the view ended. */
  LEASE_LOST("lease-lost"),
  /** A version of the configuration came into force on this VM. */
  CONFIGURATION_IN_FORCE("configuration-in-force"),
  /** A configuration change of an operator was accepted or rejected, or its outcome is unknown. */
  CONFIGURATION_PROPOSED("configuration-proposed"),
  /** An evacuation was ordered, or it began or ended on this VM. */
  EVACUATION_CHANGED("evacuation-changed"),
  /** The control leader granted no token, because the rate of the customer is exhausted. */
  TOKENS_REFUSED("tokens-refused"),
  /** The control leader granted no permit, because VMs may hold all of those of a server. */
  PERMITS_REFUSED("permits-refused"),
  /** This VM became the control leader. */
  LEADERSHIP_GAINED("leadership-gained"),
  /** This VM is no longer the control leader. */
  LEADERSHIP_LOST("leadership-lost"),
  /** The voters of the control log changed. */
  VOTERS_CHANGED("voters-changed"),
  /** The data folder of this VM cannot be written; the VM does not vote. */
  STORAGE_LOST("storage-lost"),
  /** The data folder of this VM can be written again; the VM votes. */
  STORAGE_REGAINED("storage-regained");

  private final String text;

  LogEvent(String text) {
    this.text = text;
  }

  /** Returns the name of the event in the log. */
  public String text() {
    return text;
  }
}
