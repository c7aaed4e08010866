package org.limpetvale.core.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.limpetvale.core.fleet.Upstream;

/**
 * What an entry expects in the caches of the engines, from the prompts that it and the other
 * entries sent there.
 *
 * <p>The load that it answers: a few requests a second for each of hundreds of prefixes, spread
 * over many entries. None of them sees enough of a prefix to know where it lies; so they tell each
 * other.
 *
 * <p>Not safe for use by several threads.
 */
public final class PrefixCacheIndex {
  private static final int MOST_PARTS = 20_000;

  /** Time after which a part that was not used again is no longer counted on. */
  private static final long KEPT_MILLIS = 20_000;

  /** Shares of a prefix that are counted on at the engines where all entries send it first. */
  private static final double[] SHARED_CONFIDENCE = {0.8, 0.4};

  private final Map<String, Sightings> byPart =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Sightings> eldest) {
          return size() > MOST_PARTS;
        }
      };

  /** The engines that have lately read a part. */
  private static final class Sightings {
    private final Map<String, Sighting> byEngine = new HashMap<>();

    /** When the part was last sent to any engine. */
    private long newestMillis;

    void note(Upstream upstream, long nowMillis) {
      byEngine.values().removeIf(each -> nowMillis - each.atMillis() > KEPT_MILLIS);
      byEngine.put(upstream.id(), new Sighting(upstream.startedMillis(), nowMillis));
      newestMillis = nowMillis;
    }

    boolean has(Upstream upstream, long nowMillis) {
      Sighting known = byEngine.get(upstream.id());
      return known != null
          && known.bornMillis() == upstream.startedMillis()
          && nowMillis - known.atMillis() <= KEPT_MILLIS;
    }
  }

  /** That the process of an engine that was born at a time has read a part. */
  private record Sighting(long bornMillis, long atMillis) {}

  private PrefixCacheIndex() {}

  /** Returns a book without notes. */
  public static PrefixCacheIndex empty() {
    return new PrefixCacheIndex();
  }

  /** Notes that an engine has read a prompt. */
  public void recordPrompt(Upstream upstream, PromptShape shape, long nowMillis) {
    for (PromptShape.Part part : shape.parts()) {
      recordPart(upstream, part.id(), nowMillis);
    }
  }

  /** Notes that an engine has read a part of a prompt. */
  public void recordPart(Upstream upstream, String partId, long nowMillis) {
    byPart.computeIfAbsent(partId, id -> new Sightings()).note(upstream, nowMillis);
  }

  /**
   * Estimates the tokens of a prompt that an engine has in its cache.
   *
   * @param upstream the engine
   * @param shape the prompt
   * @param affinityRank the engine's place in the order in which all entries prefer engines for it
   * @param nowMillis monotonic time in milliseconds
   */
  public int expectedCachedTokens(
      Upstream upstream, PromptShape shape, int affinityRank, long nowMillis) {
    Objects.requireNonNull(shape, "shape is null");
    int known = knownTokens(upstream, shape.parts(), nowMillis);
    if (isKnownSomewhere(shape, nowMillis)) {
      return known;
    }
    double confidence =
        affinityRank < SHARED_CONFIDENCE.length ? SHARED_CONFIDENCE[affinityRank] : 0;
    int assumed = (int) (confidence * shape.sharedTokens());
    return Math.max(known, assumed);
  }

  private boolean isKnownSomewhere(PromptShape shape, long nowMillis) {
    List<PromptShape.Part> shared = shape.sharedParts();
    if (shared.isEmpty()) {
      return false;
    }
    Sightings known = byPart.get(shared.getLast().id());
    return known != null && nowMillis - known.newestMillis <= KEPT_MILLIS;
  }

  private int knownTokens(Upstream upstream, List<PromptShape.Part> parts, long nowMillis) {
    int tokens = 0;
    for (PromptShape.Part part : parts) {
      Sightings known = byPart.get(part.id());
      if (known == null || !known.has(upstream, nowMillis)) {
        return tokens;
      }
      tokens += part.tokens();
    }
    return tokens;
  }
}
