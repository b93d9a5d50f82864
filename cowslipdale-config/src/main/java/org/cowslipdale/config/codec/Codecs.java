package org.cowslipdale.config.codec;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.AnnotatedClass;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.ViewCommand;
import org.jspecify.annotations.Nullable;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Creates object mappers that know the sealed families of the decision core.
 *
 * <p>A variant carries its simple class name in the property {@code type}. Unknown properties are
 * ignored, so that daemons of neighbouring versions understand each other.
 */
public final class Codecs {

  private Codecs() {}

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
  private interface TypePropertyMixIn {}

  /**
   * Returns a mapper for JSON.
   *
   * @param families further sealed families whose variants must be told apart
   */
  public static ObjectMapper json(Class<?>... families) {
    return configure(new ObjectMapper(new JsonFactory()), families);
  }

  /**
   * Returns a mapper for MessagePack.
   *
   * @param families further sealed families whose variants must be told apart
   */
  public static ObjectMapper messagePack(Class<?>... families) {
    return configure(new ObjectMapper(new MessagePackFactory()), families);
  }

  /**
   * Returns a mapper for MessagePack that writes records as arrays, for frequent small messages.
   *
   * @param families further sealed families whose variants must be told apart
   */
  public static ObjectMapper compactMessagePack(Class<?>... families) {
    ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
    mapper.setAnnotationIntrospector(new RecordsAsArraysIntrospector());
    return configure(mapper, families);
  }

  private static final class RecordsAsArraysIntrospector extends JacksonAnnotationIntrospector {

    private static final long serialVersionUID = 1;

    @Override
    public JsonFormat.@Nullable Value findFormat(Annotated annotated) {
      return annotated instanceof AnnotatedClass type && type.getRawType().isRecord()
          ? JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY)
          : super.findFormat(annotated);
    }
  }

  private static ObjectMapper configure(ObjectMapper mapper, Class<?>... families) {
    mapper.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
    registerFamily(mapper, ViewCommand.class);
    registerFamily(mapper, Freshness.class);
    for (Class<?> family : families) {
      registerFamily(mapper, family);
    }
    return mapper;
  }

  private static void registerFamily(ObjectMapper mapper, Class<?> family) {
    mapper.addMixIn(family, TypePropertyMixIn.class);
    for (Class<?> variant : family.getPermittedSubclasses()) {
      if (variant.isSealed()) {
        registerFamily(mapper, variant);
      } else {
        mapper.registerSubtypes(new NamedType(variant, variant.getSimpleName()));
      }
    }
  }
}
