package org.limpetvale.forward.accept;

/** Bounds the bytes of request bodies that are held at the same time. */
final class BodyMemory {
  private static final long MOST_BYTES = 24L * 1024 * 1024;

  private long heldBytes;

  boolean tryHold(int bytes) {
    if (heldBytes + bytes > MOST_BYTES) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  void release(long bytes) {
    heldBytes -= bytes;
  }
}
