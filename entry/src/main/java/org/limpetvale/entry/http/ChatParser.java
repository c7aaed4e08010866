package org.limpetvale.entry.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;
import org.limpetvale.core.config.RequestClass;
import org.limpetvale.core.result.Result;
import org.limpetvale.core.result.ResultCode;
import org.limpetvale.daemon.Digests;
import org.limpetvale.entry.authenticate.Caller;
import org.limpetvale.entry.run.ModelRequest;

/** Validates chat requests and creates the request body for the engine. */
final class ChatParser {
  private static final int MAX_JSON_DEPTH = 64;
  private static final int MAX_MESSAGES = 4096;
  private static final int PREFIX_LENGTH_CHARS = 512;
  private static final ObjectMapper MAPPER =
      new ObjectMapper(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_JSON_DEPTH).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private final Digests digests;

  ChatParser(Digests digests) {
    this.digests = Objects.requireNonNull(digests, "digests is null");
  }

  /**
   * Validates a request.
   *
   * @param requestId id of the request
   * @param caller the caller that sent the request
   * @param classHeader request class from the header; null if absent
   * @param body the request body
   */
  Result<ModelRequest> parse(String requestId, Caller caller, String classHeader, byte[] body) {
    JsonNode tree;
    try {
      tree = MAPPER.readTree(body);
    } catch (IOException e) {
      return Result.err(ResultCode.BODY_MALFORMED, "the body is not JSON");
    }
    if (!(tree instanceof ObjectNode node)) {
      return Result.err(ResultCode.BODY_MALFORMED, "the body is not a JSON object");
    }
    return validate(node).flatMap(valid -> classify(requestId, caller, classHeader, valid));
  }

  private static Result<ObjectNode> validate(ObjectNode node) {
    if (!node.path("model").isTextual()) {
      return Result.err(ResultCode.FIELD_INVALID, "model: a string is needed");
    }
    JsonNode messages = node.path("messages");
    if (!messages.isArray() || messages.isEmpty() || messages.size() > MAX_MESSAGES) {
      return Result.err(
          ResultCode.FIELD_INVALID, "messages: an array of 1 to " + MAX_MESSAGES + " is needed");
    }
    for (JsonNode message : messages) {
      if (!message.path("role").isTextual() || message.path("content").isMissingNode()) {
        return Result.err(ResultCode.FIELD_INVALID, "messages: each needs a role and a content");
      }
    }
    if (node.has("stream") && !node.path("stream").isBoolean()) {
      return Result.err(ResultCode.FIELD_INVALID, "stream: a boolean is needed");
    }
    if (node.has("n") && node.path("n").asInt(0) != 1) {
      return Result.err(ResultCode.FIELD_INVALID, "n: only 1 is supported");
    }
    return Result.ok(node);
  }

  private Result<ModelRequest> classify(
      String requestId, Caller caller, String classHeader, ObjectNode node) {
    String className = className(caller, classHeader, node);
    Optional<RequestClass> level = caller.config().requestClass(caller.parameters(), className);
    if (level.isEmpty()) {
      return Result.err(
          ResultCode.CLASS_NOT_ALLOWED,
          "classes of this workspace: " + String.join(", ", caller.parameters().classes()));
    }
    String model = node.path("model").asText();
    if (!caller.parameters().models().contains(model)) {
      return Result.err(
          ResultCode.MODEL_NOT_ALLOWED,
          "models of this workspace: " + String.join(", ", caller.parameters().models()));
    }
    return maxTokens(node, level.get())
        .flatMap(
            max ->
                Result.ok(
                    toModelRequest(requestId, caller, className, level.get(), model, node, max)));
  }

  private static String className(Caller caller, String classHeader, ObjectNode node) {
    if (classHeader != null) {
      return classHeader;
    }
    return node.path("metadata").path("request_class").asText(caller.parameters().defaultClass());
  }

  private static Result<Integer> maxTokens(ObjectNode node, RequestClass level) {
    for (String field : new String[] {"max_tokens", "max_completion_tokens"}) {
      if (!node.has(field) || node.path(field).isNull()) {
        continue;
      }
      JsonNode value = node.path(field);
      if (!value.isIntegralNumber()
          || !value.canConvertToInt()
          || value.asInt() < 1
          || value.asInt() > level.maxTokens()) {
        return Result.err(ResultCode.FIELD_INVALID, field + ": 1 to " + level.maxTokens());
      }
      return Result.ok(value.asInt());
    }
    return Result.ok(level.maxTokens());
  }

  private ModelRequest toModelRequest(
      String requestId,
      Caller caller,
      String className,
      RequestClass level,
      String model,
      ObjectNode node,
      int maxTokens) {
    boolean stream = node.path("stream").asBoolean(false);
    ObjectNode engineBody = node.deepCopy();
    engineBody.remove("stream");
    engineBody.remove("stream_options");
    engineBody.remove("metadata");
    engineBody.remove("user");
    engineBody.put("max_tokens", maxTokens);
    byte[] body = engineBody.toString().getBytes(StandardCharsets.UTF_8);
    return new ModelRequest(
        requestId,
        caller,
        className,
        level,
        model,
        stream,
        maxTokens,
        body,
        digests.digest(caller.workspace(), body),
        prefixHash(node));
  }

  private static long prefixHash(ObjectNode node) {
    String first = node.path("messages").path(0).path("content").toString();
    return first.substring(0, Math.min(PREFIX_LENGTH_CHARS, first.length())).hashCode();
  }
}
