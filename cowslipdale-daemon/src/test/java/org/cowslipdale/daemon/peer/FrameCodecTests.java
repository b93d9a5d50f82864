package org.cowslipdale.daemon.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.core.permit.PermitDemand;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.daemon.peer.PeerMessage.LeaseReply;
import org.junit.jupiter.api.Test;

class FrameCodecTests {

  @Test
  void encodedViewUpdateArrivesWithTheReplyThatCarriesIt() throws IOException {
    ViewUpdate update =
        new ViewUpdate(0, List.of(new ViewCommand.BeginTerm("bonds", 1)), View.EMPTY);
    LeaseReply reply =
        new LeaseReply(
            true,
            "vm1",
            true,
            0,
            List.of(),
            null,
            7,
            List.of("vm1"),
            3,
            null,
            EncodedViewUpdate.of(update));

    PeerFrame received = transfer(new PeerFrame(4, true, reply));

    assertThat(((LeaseReply) received.message()).update(), is(update));
  }

  /** The fields that VMs of earlier versions know must stay in their places. */
  @Test
  void demandOfEarlierVersionDecodesWithoutPriority() throws IOException {
    PermitDemand demand = new PermitDemand(7, 3, "bonds-1", 70, 0);
    ObjectMapper codec = Codecs.compactMessagePack(PeerMessage.class);
    byte[] earlier = codec.writeValueAsBytes(List.of(7L, 3L, "bonds-1", 70));
    byte[] later = codec.writeValueAsBytes(List.of(7L, 3L, "bonds-1", 70, 0, "added later"));

    assertThat(
        codec.readValue(earlier, PermitDemand.class), is(new PermitDemand(7, 3, "bonds-1", 70)));
    assertThat(codec.readValue(later, PermitDemand.class), is(demand));
    PeerFrame received = transfer(new PeerFrame(4, false, new PeerMessage.PermitRequest(demand)));
    assertThat(((PeerMessage.PermitRequest) received.message()).demand(), is(demand));
  }

  private static PeerFrame transfer(PeerFrame frame) throws IOException {
    List<Buffer> payloads = new ArrayList<>();
    RecordParser parser = FrameCodec.parser(payloads::add, () -> {});
    parser.handle(FrameCodec.encode(frame));
    return FrameCodec.decode(payloads.getFirst());
  }
}
