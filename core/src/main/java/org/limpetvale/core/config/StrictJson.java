package org.limpetvale.core.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.DeserializationProblemHandler;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** JSON of the configuration: strict for operators' input, tolerant for what is stored. */
public final class StrictJson {
  private static final String FAULTS = "faults";
  private static final ObjectMapper STORED =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();
  private static final ObjectMapper INPUT =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .addHandler(new Collector())
          .build();

  private StrictJson() {}

  /** The outcome of reading operators' input. */
  public sealed interface Read<T> {
    /** The value, free of faults of form. */
    record Value<T>(T value) implements Read<T> {}

    /** All faults of form that were found. */
    record Faults<T>(List<Fault> faults) implements Read<T> {}
  }

  /**
   * Reads operators' input.
   *
   * @param json the input
   * @param type the type to read
   * @return the value, or all unknown fields and wrong types at once
   */
  public static <T> Read<T> read(String json, Class<T> type) {
    List<Fault> faults = new ArrayList<>();
    try {
      T value = INPUT.readerFor(type).withAttribute(FAULTS, faults).readValue(json);
      if (value == null) {
        faults.add(new Fault("(whole input)", "null", "an object"));
      }
      return faults.isEmpty() ? new Read.Value<>(value) : new Read.Faults<>(List.copyOf(faults));
    } catch (JsonProcessingException e) {
      faults.add(
          new Fault(
              "(line " + lineOf(e) + ")",
              firstLine(e.getOriginalMessage()),
              "JSON of a " + type.getSimpleName()));
      return new Read.Faults<>(List.copyOf(faults));
    }
  }

  /** Writes a value for the table or the wire. */
  public static String write(Object value) {
    try {
      return STORED.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("value cannot be written as JSON", e);
    }
  }

  /**
   * Reads what limpetvale has stored itself.
   *
   * @throws IllegalStateException when the stored text is not of the type
   */
  public static <T> T stored(String json, Class<T> type) {
    try {
      return STORED.readValue(json, type);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("stored JSON is not a " + type.getSimpleName(), e);
    }
  }

  private static long lineOf(JsonProcessingException e) {
    return e.getLocation() == null ? 0 : e.getLocation().getLineNr();
  }

  private static String firstLine(String text) {
    return text == null ? "malformed" : text.lines().findFirst().orElse("malformed");
  }

  private static final class Collector extends DeserializationProblemHandler {
    @Override
    public boolean handleUnknownProperty(
        DeserializationContext context,
        JsonParser parser,
        JsonDeserializer<?> reader,
        Object bean,
        String name)
        throws IOException {
      String known =
          reader == null || reader.getKnownPropertyNames() == null
              ? "a known field"
              : String.join(
                  ", ",
                  reader.getKnownPropertyNames().stream().map(Object::toString).sorted().toList());
      add(context, parser, name, known);
      parser.skipChildren();
      return true;
    }

    @Override
    public Object handleUnexpectedToken(
        DeserializationContext context,
        JavaType type,
        com.fasterxml.jackson.core.JsonToken token,
        JsonParser parser,
        String message)
        throws IOException {
      add(
          context,
          parser,
          parser.getText(),
          "a value of type " + type.getRawClass().getSimpleName());
      parser.skipChildren();
      return neutral(type.getRawClass());
    }

    @Override
    public Object handleWeirdStringValue(
        DeserializationContext context, Class<?> type, String value, String message) {
      add(context, context.getParser(), value, "a value of type " + type.getSimpleName());
      return neutral(type);
    }

    @SuppressWarnings("unchecked")
    private static void add(
        DeserializationContext context, JsonParser parser, String value, String allowed) {
      String path =
          parser
              .getParsingContext()
              .pathAsPointer()
              .toString()
              .replaceFirst("^/", "")
              .replace('/', '.');
      ((List<Fault>) context.getAttribute(FAULTS)).add(new Fault(path, value, allowed));
    }

    private static Object neutral(Class<?> type) {
      if (type == int.class || type == Integer.class) {
        return 0;
      }
      if (type == long.class || type == Long.class) {
        return 0L;
      }
      if (type == double.class || type == Double.class) {
        return 0.0;
      }
      if (type == boolean.class || type == Boolean.class) {
        return false;
      }
      return null;
    }
  }
}
