package org.limpetvale.core.placement;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * The size of a model request and the parts that its prompt is made of.
 *
 * @param promptTokens tokens of the prompt
 * @param outputTokens most tokens of the answer
 * @param parts parts of the prompt in order; the last belongs to the request itself
 */
public record PromptShape(int promptTokens, int outputTokens, List<Part> parts) {
  /** The shape of a request that is not for a model. */
  public static final PromptShape NONE = new PromptShape(0, 0, List.of());

  /**
   * A part of a prompt.
   *
   * @param id id that requests with the same part share
   * @param tokens its tokens
   */
  public record Part(String id, int tokens) {
    public Part {
      Objects.requireNonNull(id, "id is null");
    }
  }

  public PromptShape {
    parts = List.copyOf(Objects.requireNonNull(parts, "parts is null"));
  }

  /** Tells whether the request is for a model. */
  public boolean isModelRequest() {
    return promptTokens > 0;
  }

  /** Returns the parts that other requests may share. */
  public List<Part> sharedParts() {
    return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
  }

  /** Returns the tokens of the parts that other requests may share. */
  public int sharedTokens() {
    return sharedParts().stream().mapToInt(Part::tokens).sum();
  }

  /** Returns the id of the longest shared prefix, by which like requests are kept together. */
  public Optional<String> affinityKey() {
    List<Part> shared = sharedParts();
    if (!shared.isEmpty()) {
      return Optional.of(shared.getLast().id());
    }
    return parts.isEmpty() ? Optional.empty() : Optional.of(parts.getLast().id());
  }
}
