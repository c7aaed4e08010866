package org.limpetvale.ports;

import java.util.Optional;

/** The platform's object store. */
public interface ObjectStore {
  /** Reads an object; empty if it does not exist. */
  ReadResult<Optional<String>> get(String name);

  /**
   * Writes an object. The call is idempotent.
   *
   * @return whether the store has confirmed it
   */
  boolean put(String name, String content);
}
