package org.limpetvale.fakes;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** The faults that a stand-in of the platform shows now. */
final class InjectedFaults {
  private volatile boolean down;
  private volatile long latencyMillis;
  private volatile long writeLatencyMillis;
  private volatile Set<String> cutClients = Set.of();
  private final AtomicInteger responseLossesLeft = new AtomicInteger();
  private final AtomicInteger requestLossesLeft = new AtomicInteger();
  private final AtomicInteger skipsLeft = new AtomicInteger();

  /** Sets faults by JSON; fields left out stay as they are. */
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

  /** Returns the time before a write takes effect, in milliseconds. */
  long writeLatencyMillis() {
    return writeLatencyMillis;
  }

  /** Tells whether a write is lost before it takes effect. */
  boolean consumeRequestLoss() {
    return !consumeSkip() && decrementIfPositive(requestLossesLeft);
  }

  /** Tells whether the answer of a write that took effect is lost. */
  boolean consumeResponseLoss() {
    return skipsLeft.get() <= 0 && decrementIfPositive(responseLossesLeft);
  }

  private boolean consumeSkip() {
    return skipsLeft.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
  }

  private static boolean decrementIfPositive(AtomicInteger left) {
    return left.getAndUpdate(old -> Math.max(0, old - 1)) > 0;
  }
}
