package org.limpetvale.forward.json;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Reads fields of JSON objects strictly. A value of a wrong type or out of its range raises an
 * exception and is never converted, since a conversion may wrap a number into a plausible one.
 *
 * <p>An absent field and null are the same.
 */
public final class JsonFields {
  /** The largest integer that every JSON reader represents exactly. */
  public static final long MAX_EXACT = (1L << 53) - 1;

  private static final ObjectMapper JSON = JsonMapper.builder().build();

  private JsonFields() {}

  /** Parses a text; too deep nesting and too long numbers are unusable. */
  public static JsonNode parse(String text) throws UnusableJsonException {
    try {
      return JSON.readTree(text);
    } catch (JsonProcessingException e) {
      throw new UnusableJsonException("not JSON: " + e.getOriginalMessage());
    }
  }

  /** Parses a text that must be an object. */
  public static JsonNode parseObject(String text) throws UnusableJsonException {
    JsonNode node = parse(text);
    require(node.isObject(), "the text", "an object");
    return node;
  }

  /** Returns a field that must be a string. */
  public static String text(JsonNode object, String name) throws UnusableJsonException {
    JsonNode node = object.path(name);
    require(node.isTextual(), name, "a string");
    return node.asText();
  }

  /** Returns a field that must be a string if it is present. */
  public static String text(JsonNode object, String name, String defaultValue)
      throws UnusableJsonException {
    return isAbsent(object.path(name)) ? defaultValue : text(object, name);
  }

  /** Returns an element of a list that must be a string. */
  public static String element(JsonNode element, String listName) throws UnusableJsonException {
    require(element.isTextual(), "an element of " + listName, "a string");
    return element.asText();
  }

  /** Returns a field that must be an integer in a range if it is present. */
  public static long number(JsonNode object, String name, long defaultValue, long min, long max)
      throws UnusableJsonException {
    JsonNode node = object.path(name);
    return isAbsent(node) ? defaultValue : number(node, name, min, max);
  }

  /** Returns a value that must be an integer in a range. */
  public static long number(JsonNode node, String name, long min, long max)
      throws UnusableJsonException {
    boolean exact = node.isNumber() && node.canConvertToExactIntegral() && node.canConvertToLong();
    require(exact && node.longValue() >= min && node.longValue() <= max, name, "in range");
    return node.longValue();
  }

  /** Returns a field that must be a number in a range if it is present. */
  public static double decimal(
      JsonNode object, String name, double defaultValue, double min, double max)
      throws UnusableJsonException {
    JsonNode node = object.path(name);
    return isAbsent(node) ? defaultValue : decimal(node, name, min, max);
  }

  /** Returns a value that must be a number in a range. */
  public static double decimal(JsonNode node, String name, double min, double max)
      throws UnusableJsonException {
    boolean inRange = node.isNumber() && node.asDouble() >= min && node.asDouble() <= max;
    require(inRange, name, "in range");
    return node.asDouble();
  }

  /** Returns a field that must be true or false if it is present; false otherwise. */
  public static boolean flag(JsonNode object, String name) throws UnusableJsonException {
    JsonNode node = object.path(name);
    require(node.isBoolean() || isAbsent(node), name, "true or false");
    return node.asBoolean();
  }

  /** Returns a field that must be a list if it is present; an empty node otherwise. */
  public static JsonNode list(JsonNode object, String name) throws UnusableJsonException {
    JsonNode node = object.path(name);
    require(node.isArray() || isAbsent(node), name, "a list");
    return node;
  }

  /** Returns a field that must be a list of objects if it is present. */
  public static JsonNode objects(JsonNode object, String name) throws UnusableJsonException {
    JsonNode node = list(object, name);
    for (JsonNode each : node) {
      require(each.isObject(), "an element of " + name, "an object");
    }
    return node;
  }

  /** Returns a field that must be an object if it is present; an empty node otherwise. */
  public static JsonNode object(JsonNode object, String name) throws UnusableJsonException {
    JsonNode node = object.path(name);
    require(node.isObject() || isAbsent(node), name, "an object");
    return node;
  }

  /** Returns whether a field is missing or null. */
  public static boolean isAbsent(JsonNode node) {
    return node.isMissingNode() || node.isNull();
  }

  private static void require(boolean met, String what, String expected)
      throws UnusableJsonException {
    if (!met) {
      throw new UnusableJsonException(what + " is not " + expected);
    }
  }
}
