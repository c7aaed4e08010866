package org.limpetvale.core.placement;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The size of a model request and the parts of its prompt.
 *
 * @param promptTokens number of tokens in the prompt
 * @param outputTokens maximum number of tokens in the answer
 * @param parts parts of the prompt in order; the last one is specific to the request
 */
public record PromptShape(int promptTokens, int outputTokens, List<Part> parts) {
  /** The shape of a request that does not address a model. */
  public static final PromptShape NONE = new PromptShape(0, 0, List.of());

  /**
   * A part of a prompt.
   *
   * @param id id shared by all requests that contain this part
   * @param tokens number of tokens in the part
   */
  public record Part(String id, int tokens) {
    public Part {
      Objects.requireNonNull(id, "id is null");
    }
  }

  public PromptShape {
    parts = List.copyOf(Objects.requireNonNull(parts, "parts is null"));
  }

  /** Returns whether the request addresses a model. */
  public boolean isModelRequest() {
    return promptTokens > 0;
  }

  /** Returns the parts that may also occur in other requests. */
  public List<Part> sharedParts() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /** Returns the number of tokens in the parts that may also occur in other requests. */
  public int sharedTokens() {
    return sharedParts().stream().mapToInt(Part::tokens).sum();
  }

  /**
   * Returns the id of the longest shareable prefix, which routes requests with a common prefix to
   * the same engines.
   */
  public Optional<String> affinityKey() {
    List<Part> shared = sharedParts();
    if (!shared.isEmpty()) {
      return Optional.of(shared.getLast().id());
    }
    return parts.isEmpty() ? Optional.empty() : Optional.of(parts.getLast().id());
  }
}
