package org.limpetvale.core.result;

import java.util.Objects;
import java.util.function.Function;

/**
 * The result of an operation: a value or a refusal.
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {

  /** A value. */
  record Ok<T>(T value) implements Result<T> {
    public Ok {
      Objects.requireNonNull(value, "value is null");
    }
  }

  /** A refusal. */
  record Err<T>(Refusal refusal) implements Result<T> {
    public Err {
      Objects.requireNonNull(refusal, "refusal is null");
    }
  }

  /** Returns a result with a value. */
  static <T> Result<T> ok(T value) {
    return new Ok<>(value);
  }

  /** Returns a result with a refusal. */
  static <T> Result<T> err(Refusal refusal) {
    return new Err<>(refusal);
  }

  /** Returns a result with a refusal of the given code and detail. */
  static <T> Result<T> err(ResultCode code, String detail) {
    return new Err<>(Refusal.of(code, detail));
  }

  /**
   * Applies the next operation to the value, if there is one.
   *
   * @param next the next operation
   * @return its result, or this refusal
   */
  default <U> Result<U> flatMap(Function<? super T, Result<U>> next) {
    return switch (this) {
      case Ok<T>(T value) -> next.apply(value);
      case Err<T>(Refusal refusal) -> new Err<>(refusal);
    };
  }
}
