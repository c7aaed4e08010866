package org.limpetvale.core.crash;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that evicts its oldest entry beyond its capacity. */
public final class BoundedMap<V> extends LinkedHashMap<String, V> {
  private static final long serialVersionUID = 1L;

  private final int capacity;

  private BoundedMap(int capacity) {
    this.capacity = capacity;
  }

  /** Returns an empty map. */
  public static <V> BoundedMap<V> of(int capacity) {
    return new BoundedMap<>(capacity);
  }

  /** Puts a value as the newest entry. */
  void putNewest(String key, V value) {
    remove(key);
    put(key, value);
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
    return size() > capacity;
  }
}
