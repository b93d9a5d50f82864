package org.cowslipdale.core.session;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SessionTokenCodecTests {

  private final SessionTokenCodec codec = new SessionTokenCodec("cluster secret".getBytes(UTF_8));
  private final SessionToken token =
      SessionToken.empty("acme")
          .advance("bonds", new LogPosition(3, 17))
          .advance("grants", new LogPosition(1, 2));

  @Test
  void decodesTokenEncodedByAnotherVm() throws RefusalException {
    SessionTokenCodec other = new SessionTokenCodec("cluster secret".getBytes(UTF_8));

    assertThat(other.decode(codec.encode(token), "acme"), is(token));
  }

  @Test
  void rejectsTokenOfAnotherCustomer() {
    RefusalException e =
        assertThrows(RefusalException.class, () -> codec.decode(codec.encode(token), "other"));

    assertThat(e.code(), is(ResultCode.BAD_SESSION_TOKEN));
  }

  @Test
  void rejectsTokenSignedWithAnotherSecret() {
    SessionTokenCodec other = new SessionTokenCodec("another secret".getBytes(UTF_8));

    assertThrows(RefusalException.class, () -> other.decode(codec.encode(token), "acme"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "x", "!!!", "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"})
  void rejectsDamagedTokens(String header) {
    assertThrows(RefusalException.class, () -> codec.decode(header, "acme"));
  }

  @Test
  void advanceKeepsLaterPosition() {
    SessionToken later = token.advance("bonds", new LogPosition(2, 99));

    assertThat(later.position("bonds"), is(new LogPosition(3, 17)));
  }
}
