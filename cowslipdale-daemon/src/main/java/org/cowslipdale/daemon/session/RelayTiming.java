package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

/**
 * How long a relayed statement took.
 *
 * @param gateway the name of the gateway
 * @param elapsedMillis the time from sending the statement to the gateway until its reply
 * @param serverMillis the part of that time for which the gateway waited for the server
 */
record RelayTiming(String gateway, long elapsedMillis, long serverMillis) {

  RelayTiming {
    requireNonNull(gateway, "gateway");
  }

  /** Returns the time that the relay added, in milliseconds. */
  long relayMillis() {
    return elapsedMillis - serverMillis;
  }
}
