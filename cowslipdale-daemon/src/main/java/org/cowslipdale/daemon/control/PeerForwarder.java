package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.concurrent.ExecutionException;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.daemon.peer.PeerMessage;
import org.cowslipdale.daemon.peer.PeerMessage.ForwardReply;
import org.cowslipdale.daemon.peer.PeerMessage.ForwardRequest;
import org.cowslipdale.daemon.request.Reply;
import org.cowslipdale.daemon.request.TransactionForwarder;
import org.cowslipdale.daemon.request.TransactionStep;
import org.cowslipdale.daemon.telemetry.Tracing;

/** Forwards steps of transactions to the VMs that run them. */
final class PeerForwarder implements TransactionForwarder {

  private static final ObjectMapper JSON = Codecs.json();
  private static final long TIMEOUT_MILLIS = 10_000;

  private final ControlLink link;
  private final Tracing tracing;

  PeerForwarder(ControlLink link, Tracing tracing) {
    this.link = requireNonNull(link, "link");
    this.tracing = requireNonNull(tracing, "tracing");
  }

  @Override
  public Reply forward(String vm, TransactionStep step) throws RefusalException {
    try (Tracing.Hop hop = tracing.startHop("forward", step.traceparent())) {
      hop.set("vm", vm);
      TransactionStep traced =
          new TransactionStep(
              step.transaction(),
              step.kind(),
              step.customer(),
              step.session(),
              step.body(),
              hop.traceparent());
      PeerMessage reply =
          link.request(vm, new ForwardRequest(JSON.writeValueAsString(traced)), TIMEOUT_MILLIS)
              .get();
      if (reply instanceof ForwardReply forwarded) {
        return new Reply(forwarded.status(), forwarded.body(), forwarded.sessionToken());
      }
      throw noReply(step);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("Cannot write a transaction step as JSON", e);
    } catch (ExecutionException e) {
      throw noReply(step);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw noReply(step);
    }
  }

  /**
   * Creates the exception for a step without a reply. Only the outcome of a commit is uncertain:
   * any other step has no effect unless a later commit succeeds.
   */
  private static RefusalException noReply(TransactionStep step) {
    return step.kind() == TransactionStep.Kind.COMMIT
        ? new RefusalException(ResultCode.VM_UNREACHABLE)
        : new RefusalException(ResultCode.TRANSACTION_ABORTED);
  }
}
