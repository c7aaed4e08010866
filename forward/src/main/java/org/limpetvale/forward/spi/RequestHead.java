package org.limpetvale.forward.spi;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.limpetvale.core.placement.PromptShape;

/**
 * The decoded headers of a caller's request.
 *
 * @param requestId id that the caller gave the request; an empty string if it gave none
 * @param deadlineMillis time that the caller will wait, counted from the arrival of the request
 * @param key API key of the caller, if the request has one
 * @param shape size and parts of the prompt
 */
public record RequestHead(
    String requestId, OptionalLong deadlineMillis, Optional<String> key, PromptShape shape) {
  public RequestHead {
    Objects.requireNonNull(requestId, "requestId is null");
    Objects.requireNonNull(deadlineMillis, "deadlineMillis is null");
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(shape, "shape is null");
  }
}
