package org.limpetvale.ports;

import java.util.Optional;

/**
 * The result of a read from the platform.
 *
 * @param <T> the type of what is read
 */
public sealed interface ReadResult<T> {
  /** The answer. */
  record Success<T>(T value) implements ReadResult<T> {}

  /** There was no answer. */
  record Unavailable<T>(String detail) implements ReadResult<T> {}

  /** Returns the answer, if there was one. */
  default Optional<T> toOptional() {
    return switch (this) {
      case Success<T>(T value) -> Optional.of(value);
      case Unavailable<T> ignored -> Optional.empty();
    };
  }
}
