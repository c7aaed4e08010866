package org.limpetvale.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** Reads and writes JSON: strict for operators' input, lenient for stored data. */
public final class JsonCodec {
  private static final int MAX_FAULTS = 100;
  private static final int MAX_VALUE_LENGTH = 120;
  private static final ObjectMapper LENIENT_MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();
  private static final ObjectMapper STRICT_MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
          .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
          .build();

  private JsonCodec() {}

  /** The result of parsing operators' input. */
  public sealed interface ParseResult<T> {
    /** The parsed value. */
    record Value<T>(T value) implements ParseResult<T> {}

    /** The syntax and type errors that were found. */
    record Faults<T>(List<Fault> faults) implements ParseResult<T> {}
  }

  /**
   * Parses operators' input.
   *
   * <p>Jackson stops at the first error. To report all of them, each faulty field is removed or
   * replaced by a default value and the input is parsed again.
   *
   * @param json the input
   * @param type the target type
   * @return the value, or all unknown fields and type mismatches
   */
  public static <T> ParseResult<T> parseInput(String json, Class<T> type) {
    JsonNode tree;
    try {
      tree = STRICT_MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      long line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      return fault("(line " + line + ")", firstLine(e.getOriginalMessage()), "JSON");
    }
    if (!(tree instanceof ObjectNode)) {
      return fault("(whole input)", String.valueOf(tree), "a JSON object");
    }
    List<Fault> faults = new ArrayList<>();
    while (faults.size() < MAX_FAULTS) {
      try {
        T value = STRICT_MAPPER.treeToValue(tree, type);
        return faults.isEmpty()
            ? new ParseResult.Value<>(value)
            : new ParseResult.Faults<>(List.copyOf(faults));
      } catch (JsonMappingException e) {
        faults.add(fault(tree, e));
        if (!removeOrReplace(tree, e)) {
          break;
        }
      } catch (JsonProcessingException e) {
        faults.add(new Fault("(whole input)", firstLine(e.getOriginalMessage()), "JSON"));
        break;
      }
    }
    return new ParseResult.Faults<>(List.copyOf(faults));
  }

  private static <T> ParseResult<T> fault(String field, String value, String allowed) {
    return new ParseResult.Faults<>(List.of(new Fault(field, value, allowed)));
  }

  private static Fault fault(JsonNode tree, JsonMappingException e) {
    String path = e.getPath().stream().map(JsonCodec::pathElement).collect(Collectors.joining("."));
    JsonNode found = nodeAt(tree, e.getPath());
    String value = found.isMissingNode() ? "(absent)" : found.toString();
    String truncated =
        value.length() > MAX_VALUE_LENGTH ? value.substring(0, MAX_VALUE_LENGTH) : value;
    return new Fault(path.isEmpty() ? "(whole input)" : path, truncated, allowed(e));
  }

  private static String allowed(JsonMappingException e) {
    return switch (e) {
      case UnrecognizedPropertyException unknown ->
          "one of the fields "
              + unknown.getKnownPropertyIds().stream()
                  .map(Object::toString)
                  .sorted()
                  .collect(Collectors.joining(", "));
      case MismatchedInputException mismatch when mismatch.getTargetType() != null ->
          "a value of type " + mismatch.getTargetType().getSimpleName();
      default -> firstLine(e.getOriginalMessage());
    };
  }

  private static String pathElement(JsonMappingException.Reference reference) {
    return reference.getFieldName() == null
        ? String.valueOf(reference.getIndex())
        : reference.getFieldName();
  }

  private static JsonNode nodeAt(JsonNode tree, List<JsonMappingException.Reference> path) {
    JsonNode node = tree;
    for (JsonMappingException.Reference reference : path) {
      node =
          reference.getFieldName() == null
              ? node.path(reference.getIndex())
              : node.path(reference.getFieldName());
    }
    return node;
  }

  /**
   * Removes a faulty value, or replaces it by a default if the target type is primitive; returns
   * whether the tree has changed.
   */
  private static boolean removeOrReplace(JsonNode tree, JsonMappingException e) {
    List<JsonMappingException.Reference> path = e.getPath();
    if (path.isEmpty()) {
      return false;
    }
    JsonNode parent = nodeAt(tree, path.subList(0, path.size() - 1));
    JsonMappingException.Reference last = path.getLast();
    boolean primitive =
        e instanceof MismatchedInputException mismatch
            && mismatch.getTargetType() != null
            && mismatch.getTargetType().isPrimitive();
    return switch (parent) {
      case ObjectNode object when primitive -> {
        object.set(last.getFieldName(), defaultValue(e));
        yield true;
      }
      case ObjectNode object -> object.remove(last.getFieldName()) != null;
      case ArrayNode array -> array.remove(last.getIndex()) != null;
      default -> false;
    };
  }

  private static JsonNode defaultValue(JsonMappingException e) {
    return ((MismatchedInputException) e).getTargetType() == boolean.class
        ? BooleanNode.FALSE
        : IntNode.valueOf(0);
  }

  private static String firstLine(String text) {
    return text == null ? "malformed" : text.lines().findFirst().orElse("malformed");
  }

  /** Serializes a value for storage or transmission. */
  public static String write(Object value) {
    try {
      return LENIENT_MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("value cannot be written as JSON", e);
    }
  }

  /**
   * Reads a value that was written by {@link #write}; ignores unknown fields.
   *
   * @throws IllegalStateException if the JSON does not match the type
   */
  public static <T> T readStored(String json, Class<T> type) {
    try {
      return LENIENT_MAPPER.readValue(json, type);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("stored JSON is not a " + type.getSimpleName(), e);
    }
  }
}
