package org.limpetvale.forward.accept;

/** Bounds the bytes of request bodies that are held at the same time. */
final class BodyMemoryBudget {
  private static final long MAX_BYTES = 24L * 1024 * 1024;

  private long reservedBytes;

  /** Counts bytes, unless too many are held. */
  boolean tryReserve(int bytes) {
    if (reservedBytes + bytes > MAX_BYTES) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  /** Counts bytes in any case, as those of a body that is being sent on already. */
  void reserve(int bytes) {
    reservedBytes += bytes;
  }

  void release(long bytes) {
    reservedBytes -= bytes;
  }
}
