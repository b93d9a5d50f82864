package org.cowslipdale.daemon.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.parsetools.RecordParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.core.gateway.GatewayReply;
import org.cowslipdale.core.gateway.GatewayRequest;
import org.cowslipdale.core.permit.PermitDemand;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.ServerFailure;
import org.cowslipdale.core.statement.ServerReply;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.statement.Statement.PreparedStatement;
import org.cowslipdale.core.statement.TransactionState;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.daemon.peer.PeerMessage.LeaseReply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

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

  private static Stream<PeerMessage> gatewayMessages() {
    PreparedStatement prepared = new PreparedStatement(true, "WRITE \u00fc ?");
    GatewayRequest.Acquire acquire =
        new GatewayRequest.Acquire(
            Long.MAX_VALUE, "bonds", "bonds-1", "acme", 2, Map.of("a", " b "), prepared, 100, 900);
    Statement execute = new Statement.Execute("id-1", "EXECUTE s  x ", "s", " x ");
    LogPosition position = new LogPosition(3, 1L << 40);
    GatewayRequest.Run run = new GatewayRequest.Run(7, execute, prepared, position, 800);
    ServerReply reply =
        new ServerReply(List.of("row\t1", ""), "signed", null, TransactionState.OPEN, position);
    ServerReply failed =
        new ServerReply(List.of(), "", ServerFailure.BEHIND, TransactionState.IDLE, null);
    return Stream.concat(
        Stream.of(
                acquire,
                run,
                new GatewayRequest.Read(acquire, run),
                new GatewayRequest.Run(7, new Statement.Begin("b", "BEGIN", true), null, null, 1),
                new GatewayRequest.Run(7, new Statement.Commit("c", "COMMIT"), null, null, 1),
                new GatewayRequest.Run(7, new Statement.Rollback("r", "ROLLBACK"), null, null, 1),
                new GatewayRequest.Run(
                    7, new Statement.Access("a", "READ a ", false), null, null, 1),
                new GatewayRequest.Run(
                    7, new Statement.Assign("a", "SET a b", "a", "b"), null, null, 1),
                new GatewayRequest.Await(7),
                new GatewayRequest.Release(7, true))
            .map(PeerMessage.GatewayCall::new),
        Stream.of(
                new GatewayReply.Acquired(),
                new GatewayReply.Pending(),
                new GatewayReply.Declined(ResultCode.SHUTTING_DOWN),
                new GatewayReply.Refused(ResultCode.WAIT_LIMIT_REACHED),
                new GatewayReply.ConnectFailed(null, "reason"),
                new GatewayReply.ConnectFailed(ServerFailure.TOO_MANY_CONNECTIONS, "reason"),
                new GatewayReply.Ran(reply, 3, 4),
                new GatewayReply.Ran(failed, 3, 4),
                new GatewayReply.Broken(true, "reason"),
                new GatewayReply.HandleLost())
            .map(PeerMessage.GatewayAnswer::new));
  }

  /** Guards against texts, ids and positions that a gateway receives changed. */
  @ParameterizedTest
  @MethodSource("gatewayMessages")
  void gatewayMessagesArriveUnchanged(PeerMessage message) throws IOException {
    assertThat(transfer(new PeerFrame(4, false, message)).message(), is(message));
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
