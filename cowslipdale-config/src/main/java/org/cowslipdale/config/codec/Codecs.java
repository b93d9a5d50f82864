package org.cowslipdale.config.codec;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
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
 * Creates object mappers that read and write the sealed types of the core polymorphically.
 *
 * <p>Each permitted subclass is identified in the property {@code type}, by the value of its {@link
 * JsonTypeName} annotation or, without one, by its simple class name. Unknown properties are
 * ignored, so that daemons of adjacent versions are compatible.
 */
public final class Codecs {

  private Codecs() {}

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
  private interface TypePropertyMixIn {}

  /**
   * Creates a mapper for JSON.
   *
   * @param families additional sealed types whose permitted subclasses are registered
   */
  public static ObjectMapper json(Class<?>... families) {
    return configure(new ObjectMapper(new JsonFactory()), families);
  }

  /**
   * Creates a mapper for MessagePack.
   *
   * @param families additional sealed types whose permitted subclasses are registered
   */
  public static ObjectMapper messagePack(Class<?>... families) {
    return configure(new ObjectMapper(new MessagePackFactory()), families);
  }

  /**
   * Creates a mapper for MessagePack that writes records as arrays, which keeps frequent messages
   * small. The order of record components is then part of the format.
   *
   * @param families additional sealed types whose permitted subclasses are registered
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
        JsonTypeName typeName = variant.getAnnotation(JsonTypeName.class);
        mapper.registerSubtypes(
            new NamedType(variant, typeName == null ? variant.getSimpleName() : typeName.value()));
      }
    }
  }
}
