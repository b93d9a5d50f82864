package org.cowslipdale.core.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class TokenIssuerHealthTests {

  private final TokenIssuerHealth health = new TokenIssuerHealth();

  @Test
  void remainsResponsiveWhenIssuerRefusesRequest() {
    health.recordAnswer(140);

    assertThat(health.recordMissingToken(100, 140), is(false));
    assertThat(health.isUnresponsive(141), is(false));
  }

  @Test
  void remainsResponsiveWhileAnswerMayBeInFlight() {
    assertThat(health.recordMissingToken(100, 160), is(false));
    assertThat(health.isUnresponsive(161), is(false));
  }

  @Test
  void becomesUnresponsiveWithoutAnswer() {
    health.recordAnswer(90);

    assertThat(health.recordMissingToken(100, 400), is(true));
    assertThat(health.isUnresponsive(899), is(true));
  }

  @Test
  void retriesUnresponsiveIssuerAndRecoversOnAnswer() {
    health.recordMissingToken(100, 400);
    assertThat(health.isUnresponsive(900), is(false));

    health.recordMissingToken(900, 1_200);
    health.recordAnswer(1_300);
    assertThat(health.isUnresponsive(1_300), is(false));
  }

  @Test
  void recoversForSomeTimeAfterSilence() {
    health.recordAnswer(100);
    assertThat(health.isRecovering(3_100), is(false));

    health.recordMissingToken(3_100, 3_400);
    assertThat(health.isRecovering(10_000), is(true));

    health.recordAnswer(10_000);
    health.recordAnswer(12_000);
    assertThat(health.isRecovering(12_999), is(true));
    assertThat(health.isRecovering(13_000), is(false));
  }

  @Test
  void recoversAfterTimeWithoutLease() {
    health.recordAnswer(100);
    health.recordSilence();
    assertThat(health.isRecovering(10_000), is(true));
  }
}
