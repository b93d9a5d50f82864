package org.cowslipdale.core.quota;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class OwnerContactTests {

  private final OwnerContact contact = new OwnerContact();

  @Test
  void aRequestThatTheOwnerRefusedIsNotServedAtTheLocalShare() {
    contact.answered(140);

    assertThat(contact.missed(100, 140), is(false));
    assertThat(contact.isLost(141), is(false));
  }

  @Test
  void anAnswerThatCanStillBeOnItsWayIsNoSilence() {
    assertThat(contact.missed(100, 160), is(false));
    assertThat(contact.isLost(161), is(false));
  }

  @Test
  void requestsDoNotWaitForAnOwnerThatDoesNotAnswer() {
    contact.answered(90);

    assertThat(contact.missed(100, 400), is(true));
    assertThat(contact.isLost(899), is(true));
  }

  @Test
  void aLostOwnerIsTriedAgainAndUsedAsSoonAsItAnswers() {
    contact.missed(100, 400);
    assertThat(contact.isLost(900), is(false));

    contact.missed(900, 1_200);
    contact.answered(1_300);
    assertThat(contact.isLost(1_300), is(false));
  }
}
