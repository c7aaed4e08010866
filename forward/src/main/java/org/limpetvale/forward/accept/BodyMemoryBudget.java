package org.limpetvale.forward.accept;

/** Limits the total size of the request bodies held in memory. */
final class BodyMemoryBudget {
  private static final long MAX_BYTES = 24L * 1024 * 1024;

  private long reservedBytes;

  /** Reserves bytes and returns true, or returns false if that would exceed the limit. */
  boolean tryReserve(int bytes) {
    if (reservedBytes + bytes > MAX_BYTES) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  /** Reserves bytes even beyond the limit, for a body that is already being forwarded. */
  void reserve(int bytes) {
    reservedBytes += bytes;
  }

  void release(long bytes) {
    reservedBytes -= bytes;
  }
}
