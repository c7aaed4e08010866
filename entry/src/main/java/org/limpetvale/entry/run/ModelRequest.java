package org.limpetvale.entry.run;

import java.util.Objects;
import org.limpetvale.core.config.RequestClass;
import org.limpetvale.entry.authenticate.Caller;

/**
 * A checked request for a model.
 *
 * @param requestId the request
 * @param caller whom it runs for
 * @param className name of its class
 * @param level service level of the class
 * @param model the model
 * @param stream whether the caller wants a stream
 * @param maxTokens most tokens of the answer
 * @param body body for the engine, as JSON
 * @param digest keyed digest of workspace and body
 * @param prefixHash hash of the prompt's beginning
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
