package org.cowslipdale.config.codec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.annotation.JsonTypeName;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

class CodecsTests {

  sealed interface Shape {}

  @JsonTypeName("Round")
  record Circle(int radius) implements Shape {}

  record Square(int side) implements Shape {}

  @Test
  void writesAnnotatedNameOrElseSimpleClassName() {
    ObjectMapper codec = Codecs.json(Shape.class);

    JsonNode circle = codec.valueToTree(new Circle(2));
    JsonNode square = codec.valueToTree(new Square(3));

    assertThat(circle.path("type").asText(), is("Round"));
    assertThat(square.path("type").asText(), is("Square"));
  }

  @Test
  void readsAnnotatedNameOrElseSimpleClassName() throws IOException {
    ObjectMapper codec = Codecs.json(Shape.class);

    assertThat(
        codec.readValue("{\"type\":\"Round\",\"radius\":2}", Shape.class), is(new Circle(2)));
    assertThat(codec.readValue("{\"type\":\"Square\",\"side\":3}", Shape.class), is(new Square(3)));
  }

  @Test
  void everyCodecRoundTripsAnnotatedAndUnannotatedVariants() throws IOException {
    List<ObjectMapper> codecs =
        List.of(
            Codecs.json(Shape.class),
            Codecs.messagePack(Shape.class),
            Codecs.compactMessagePack(Shape.class));

    for (ObjectMapper codec : codecs) {
      for (Shape shape : List.of(new Circle(2), new Square(3))) {
        byte[] encoded = codec.writerFor(Shape.class).writeValueAsBytes(shape);
        assertThat(codec.readValue(encoded, Shape.class), is(shape));
      }
    }
  }
}
