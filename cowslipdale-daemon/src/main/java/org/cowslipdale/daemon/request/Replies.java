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

/** Turns answers and refusals into replies. */
final class Replies {

  private static final ObjectMapper JSON = Codecs.json();

  private final SessionTokenCodec tokenCodec;

  Replies(SessionTokenCodec tokens) {
    this.tokenCodec = requireNonNull(tokens, "tokens");
  }

  private record AnswerBody(int code, JsonNode result, String server) {}

  private record TransactionBody(int code, JsonNode transaction, String server) {}

  Reply result(RequestResult answer) {
    return success(answer, new AnswerBody(0, answer.result(), answer.server()), 200);
  }

  Reply transactionBegun(RequestResult answer) {
    return success(answer, new TransactionBody(0, answer.result(), answer.server()), 201);
  }

  static Reply refusal(RefusalException e) {
    return error(e.code(), String.valueOf(e.getMessage()));
  }

  static Reply error(ResultCode code, String message) {
    return new Reply(code.httpStatus(), write(ErrorBody.of(code, message)), null);
  }

  private Reply success(RequestResult answer, Object body, int status) {
    return new Reply(status, write(body), tokenCodec.encode(answer.session()));
  }

  private static String write(Object body) {
    try {
      return JSON.writeValueAsString(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("replies can be written as JSON", e);
    }
  }
}
