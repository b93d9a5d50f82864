package org.cowslipdale.daemon.control;

import org.cowslipdale.daemon.peer.PeerMessage;

/** Sends messages to VMs by name, without confirmation of delivery. */
interface PeerSender {

  void send(String to, PeerMessage message);
}
