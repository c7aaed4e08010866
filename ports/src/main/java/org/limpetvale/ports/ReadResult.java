package org.limpetvale.ports;

import java.util.Optional;

/**
 * The result of a read from the platform.
 *
 * @param <T> the type of the value that was read
 */
public sealed interface ReadResult<T> {
  /** The read succeeded. */
  record Success<T>(T value) implements ReadResult<T> {}

  /** The platform did not answer or refused the read. */
  record Unavailable<T>(String detail) implements ReadResult<T> {}

  /** Returns the value of a successful read; empty otherwise. */
  default Optional<T> toOptional() {
    return switch (this) {
      case Success<T>(T value) -> Optional.of(value);
      case Unavailable<T> ignored -> Optional.empty();
    };
  }
}
