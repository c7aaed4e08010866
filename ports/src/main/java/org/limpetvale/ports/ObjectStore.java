package org.limpetvale.ports;

import java.util.Optional;

/** The platform's object store. */
public interface ObjectStore {
  /** Reads an object; empty when there is none. */
  ReadResult<Optional<String>> get(String name);

  /**
   * Writes an object; writing the same again is harmless.
   *
   * @return whether the store has confirmed it
   */
  boolean put(String name, String content);
}
