package org.limpetvale.entry.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.limpetvale.entry.run.ModelRequest;
import org.limpetvale.entry.run.RunUpdate;

/** Creates the response bodies for chat requests. */
final class ChatResponses {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String ID_PREFIX = "chatcmpl-";

  private ChatResponses() {}

  static ObjectNode completion(
      ModelRequest request, String text, RunUpdate.Done done, long createdSeconds) {
    ObjectNode body = envelope(request, "chat.completion", createdSeconds);
    ObjectNode choice = body.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", text);
    choice.put("finish_reason", done.finishReason());
    putUsage(body, done);
    return body;
  }

  static ObjectNode chunk(ModelRequest request, String text, long createdSeconds) {
    ObjectNode body = envelope(request, "chat.completion.chunk", createdSeconds);
    ObjectNode choice = body.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("delta").put("content", text);
    choice.putNull("finish_reason");
    return body;
  }

  static ObjectNode lastChunk(ModelRequest request, RunUpdate.Done done, long createdSeconds) {
    ObjectNode body = envelope(request, "chat.completion.chunk", createdSeconds);
    ObjectNode choice = body.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("delta");
    choice.put("finish_reason", done.finishReason());
    putUsage(body, done);
    return body;
  }

  private static ObjectNode envelope(ModelRequest request, String objectType, long createdSeconds) {
    ObjectNode body = MAPPER.createObjectNode();
    body.put("id", ID_PREFIX + request.requestId());
    body.put("object", objectType);
    body.put("created", createdSeconds);
    body.put("model", request.model());
    return body;
  }

  private static void putUsage(ObjectNode body, RunUpdate.Done done) {
    ObjectNode usage = body.putObject("usage");
    usage.put("prompt_tokens", done.promptTokens());
    usage.put("completion_tokens", done.completionTokens());
    usage.put("total_tokens", done.promptTokens() + done.completionTokens());
    usage.putObject("prompt_tokens_details").put("cached_tokens", done.cachedTokens());
  }
}
