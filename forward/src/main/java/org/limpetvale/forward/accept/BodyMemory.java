package org.limpetvale.forward.accept;

/** Bounds the bytes of request bodies that are held at the same time. */
final class BodyMemory {
  private static final long MOST_BYTES = 24L * 1024 * 1024;

  private long heldBytes;

  /** Counts bytes, unless too many are held. */
  boolean tryHold(int bytes) {
    if (heldBytes + bytes > MOST_BYTES) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  /** Counts bytes in any case, as those of a body that is being sent on already. */
  void hold(int bytes) {
    heldBytes += bytes;
  }

  void release(long bytes) {
    heldBytes -= bytes;
  }
}
