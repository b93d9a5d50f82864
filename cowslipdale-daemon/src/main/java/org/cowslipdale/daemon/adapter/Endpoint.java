package org.cowslipdale.daemon.adapter;

import io.vertx.core.Future;

/** An address that an adapter binds and serves. */
public interface Endpoint {

  /** Returns the address, for messages. */
  String address();

  /** Binds the address and starts to serve. */
  Future<Void> start();

  /** Stops to serve and closes what is open. */
  Future<Void> stop();
}
