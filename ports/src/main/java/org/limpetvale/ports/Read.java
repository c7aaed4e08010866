package org.limpetvale.ports;

import java.util.Optional;

/**
 * The result of a read from the platform.
 *
 * @param <T> the type of what is read
 */
public sealed interface Read<T> {
  /** The answer. */
  record Found<T>(T value) implements Read<T> {}

  /** There was no answer. */
  record Unavailable<T>(String detail) implements Read<T> {}

  /** Returns the answer, if there was one. */
  default Optional<T> toOptional() {
    return switch (this) {
      case Found<T>(T value) -> Optional.of(value);
      case Unavailable<T> ignored -> Optional.empty();
    };
  }
}
