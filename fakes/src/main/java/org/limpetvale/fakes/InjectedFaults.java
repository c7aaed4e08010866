package org.limpetvale.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** Faults currently injected into a fake of the platform. */
final class InjectedFaults {
  private volatile boolean down;
  private volatile long latencyMillis;
  private volatile long writeLatencyMillis;
  private volatile Set<String> cutClients = Set.of();
  private final AtomicInteger responseLossesLeft = new AtomicInteger();
  private final AtomicInteger requestLossesLeft = new AtomicInteger();
  private final AtomicInteger skipsLeft = new AtomicInteger();

  /** Updates the faults from JSON; absent fields keep their values. */
  void update(JsonNode json) {
    down = json.path("down").asBoolean(down);
    latencyMillis = json.path("latencyMillis").asLong(latencyMillis);
    writeLatencyMillis = json.path("writeLatencyMillis").asLong(writeLatencyMillis);
    if (json.has("cutClients")) {
      Set<String> cut = new HashSet<>();
      json.path("cutClients").forEach(each -> cut.add(each.asText()));
      cutClients = Set.copyOf(cut);
    }
    if (json.has("loseAnswers")) {
      responseLossesLeft.set(json.path("loseAnswers").asInt());
    }
    if (json.has("loseRequests")) {
      requestLossesLeft.set(json.path("loseRequests").asInt());
    }
    if (json.has("skipBeforeLoss")) {
      skipsLeft.set(json.path("skipBeforeLoss").asInt());
    }
  }

  boolean cutsConnection(String client) {
    return down || (client != null && cutClients.contains(client));
  }

  long latencyMillis() {
    return latencyMillis;
  }

  /** Returns the delay before a write takes effect, in milliseconds. */
  long writeLatencyMillis() {
    return writeLatencyMillis;
  }

  /** Decides whether to drop a write before it takes effect; uses up one skip or one loss. */
  boolean consumeRequestLoss() {
    return !consumeSkip() && decrementIfPositive(requestLossesLeft);
  }

  /**
   * Decides whether to drop the response to an applied write; uses up one loss if no skips remain.
   */
  boolean consumeResponseLoss() {
    return skipsLeft.get() <= 0 && decrementIfPositive(responseLossesLeft);
  }

  private boolean consumeSkip() {
    return skipsLeft.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
  }

  private static boolean decrementIfPositive(AtomicInteger count) {
    return count.getAndUpdate(value -> Math.max(0, value - 1)) > 0;
  }
}
