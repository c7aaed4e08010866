package org.limpetvale.entry.run;

import java.util.Objects;
import org.limpetvale.core.config.RequestClass;
import org.limpetvale.entry.authenticate.Caller;

/**
 * A validated request for a model.
 *
 * @param requestId id of the request
 * @param caller the caller that sent the request
 * @param className name of its request class
 * @param level service level of the request class
 * @param model the model
 * @param stream whether the caller requested a streamed answer
 * @param maxTokens maximum number of answer tokens
 * @param body JSON body sent to the engine
 * @param digest keyed digest of workspace and body
 * @param prefixHash hash of the start of the prompt
 */
public record ModelRequest(
    String requestId,
    Caller caller,
    String className,
    RequestClass level,
    String model,
    boolean stream,
    int maxTokens,
    byte[] body,
    String digest,
    long prefixHash) {
  public ModelRequest {
    Objects.requireNonNull(requestId, "requestId is null");
    Objects.requireNonNull(caller, "caller is null");
    Objects.requireNonNull(className, "className is null");
    Objects.requireNonNull(level, "level is null");
    Objects.requireNonNull(model, "model is null");
    Objects.requireNonNull(body, "body is null");
    Objects.requireNonNull(digest, "digest is null");
  }
}
