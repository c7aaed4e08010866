package org.limpetvale.fakes;

/** Token bucket that limits calls per second. */
final class RateLimiter {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double perSecond;
  private double tokens;
  private long lastNanos = System.nanoTime();
  private long acquiredCount;

  RateLimiter(double perSecond) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
  }

  synchronized boolean tryAcquire() {
    long now = System.nanoTime();
    tokens = Math.min(perSecond, tokens + (now - lastNanos) / NANOS_PER_SECOND * perSecond);
    lastNanos = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    acquiredCount++;
    return true;
  }

  synchronized long acquiredCount() {
    return acquiredCount;
  }
}
