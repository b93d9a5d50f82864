package org.cowslipdale.daemon.control;

import org.cowslipdale.daemon.peer.PeerMessage;

/** Sends messages to other VMs; a message may be lost. */
interface PeerSender {

  void send(String to, PeerMessage message);
}
