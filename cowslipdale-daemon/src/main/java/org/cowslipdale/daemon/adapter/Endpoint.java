package org.cowslipdale.daemon.adapter;

import io.vertx.core.Future;

/** An address that an adapter binds and serves. */
public interface Endpoint {

  /** Returns the address for use in log and error messages. */
  String address();

  /** Binds the address and starts to accept connections. */
  Future<Void> start();

  /** Stops accepting connections and closes the open ones. */
  Future<Void> stop();
}
