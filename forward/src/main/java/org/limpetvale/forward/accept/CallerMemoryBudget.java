package org.limpetvale.forward.accept;

/** Limits the total size of what the requests of callers hold in memory. */
final class CallerMemoryBudget {
  private final long maxBytes;
  private long reservedBytes;

  private CallerMemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns a budget of which nothing is reserved. */
  static CallerMemoryBudget of(long maxBytes) {
    return new CallerMemoryBudget(maxBytes);
  }

  /** Reserves bytes and returns true, or returns false if that would exceed the limit. */
  boolean tryReserve(long bytes) {
    if (reservedBytes + bytes > maxBytes) {
      return false;
    }
    reservedBytes += bytes;
    return true;
  }

  /** Reserves bytes even beyond the limit, for a request that is already being served. */
  void reserve(long bytes) {
    reservedBytes += bytes;
  }

  void release(long bytes) {
    reservedBytes -= bytes;
  }

  /** Returns the bytes reserved now. */
  long reservedBytes() {
    return reservedBytes;
  }
}
