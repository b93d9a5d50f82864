package org.cowslipdale.config.codec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.junit.jupiter.api.Test;

class EvacuationCodecTests {

  private static final View EVACUATED =
      View.EMPTY.apply(new ViewCommand.BeginEvacuation("zone-a")).view();

  @Test
  void everyCodecRoundTripsEvacuations() throws IOException {
    for (ObjectMapper codec :
        List.of(Codecs.json(), Codecs.messagePack(), Codecs.compactMessagePack())) {
      assertThat(codec.readValue(codec.writeValueAsBytes(EVACUATED), View.class), is(EVACUATED));
      for (ViewCommand command :
          List.of(
              new ViewCommand.BeginEvacuation("zone-a"), new ViewCommand.EndEvacuation("zone-a"))) {
        byte[] encoded = codec.writerFor(ViewCommand.class).writeValueAsBytes(command);
        assertThat(codec.readValue(encoded, ViewCommand.class), is(command));
      }
    }
  }

  /** Guards against a voter that cannot read the snapshot that an earlier version stored. */
  @Test
  void readsViewWrittenBeforeEvacuationsExisted() throws IOException {
    ObjectMapper codec = Codecs.messagePack();
    ObjectNode stored = codec.valueToTree(EVACUATED);
    stored.remove("evacuatedDomains");

    View view = codec.readValue(codec.writeValueAsBytes(stored), View.class);

    assertThat(view.version(), is(EVACUATED.version()));
    assertThat(view.evacuatedDomains(), is(Set.of()));
  }

  /** Guards against a VM that cannot read the view of a control leader of an earlier version. */
  @Test
  void readsCompactViewWrittenBeforeEvacuationsExisted() throws IOException {
    ObjectMapper codec = Codecs.compactMessagePack();
    ArrayNode sent = codec.valueToTree(EVACUATED);
    sent.remove(sent.size() - 1);

    View view = codec.readValue(codec.writeValueAsBytes(sent), View.class);

    assertThat(view.evacuatedDomains(), is(Set.of()));
  }
}
