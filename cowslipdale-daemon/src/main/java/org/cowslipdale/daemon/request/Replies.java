package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.config.protocol.ErrorBody;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.session.SessionTokenCodec;

/** Converts results and refusals into HTTP replies. */
final class Replies {

  private static final ObjectMapper JSON = Codecs.json();

  private final SessionTokenCodec tokenCodec;

  Replies(SessionTokenCodec tokenCodec) {
    this.tokenCodec = requireNonNull(tokenCodec, "tokenCodec");
  }

  private record AnswerBody(int code, JsonNode result, String server) {}

  private record TransactionBody(int code, JsonNode transaction, String server) {}

  Reply result(RequestResult result) {
    return success(result, new AnswerBody(0, result.result(), result.server()), 200);
  }

  Reply transactionBegun(RequestResult result) {
    return success(result, new TransactionBody(0, result.result(), result.server()), 201);
  }

  static Reply refusal(RefusalException e) {
    return error(e.code(), String.valueOf(e.getMessage()));
  }

  static Reply error(ResultCode code, String message) {
    return new Reply(code.httpStatus(), write(ErrorBody.of(code, message)), null);
  }

  private Reply success(RequestResult result, Object body, int status) {
    return new Reply(status, write(body), tokenCodec.encode(result.session()));
  }

  private static String write(Object body) {
    try {
      return JSON.writeValueAsString(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write a reply as JSON", e);
    }
  }
}
