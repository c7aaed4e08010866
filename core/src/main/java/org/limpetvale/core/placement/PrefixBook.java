package org.limpetvale.core.placement;

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
public final class PrefixBook {
  private static final int MOST_ENTRIES = 20_000;

  /** Time after which a part that was not used again is no longer counted on. */
  private static final long KEPT_MILLIS = 20_000;

  /** Shares of a prefix that are counted on at the engines where all entries send it first. */
  private static final double[] SHARED_CONFIDENCE = {0.8, 0.4};

  private final Map<String, Long> seenAtMillis =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MOST_ENTRIES;
        }
      };

  /** When each part was last sent to any engine. */
  private final Map<String, Long> sentAtMillis =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MOST_ENTRIES;
        }
      };

  private PrefixBook() {}

  /** Returns a book without notes. */
  public static PrefixBook empty() {
    return new PrefixBook();
  }

  /** Notes that an engine has read a prompt. */
  public void note(Upstream upstream, PromptShape shape, long nowMillis) {
    for (PromptShape.Part part : shape.parts()) {
      noteRead(upstream, part.id(), nowMillis);
    }
  }

  /** Notes that an engine has read a part of a prompt. */
  public void noteRead(Upstream upstream, String partId, long nowMillis) {
    seenAtMillis.put(key(upstream, partId), nowMillis);
    sentAtMillis.put(partId, nowMillis);
  }

  /**
   * Estimates the tokens of a prompt that an engine has in its cache.
   *
   * @param upstream the engine
   * @param shape the prompt
   * @param affinityRank the engine's place in the order in which all entries prefer engines for it
   * @param nowMillis monotonic time in milliseconds
   */
  public int expectedTokens(
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
    Long at = sentAtMillis.get(shared.getLast().id());
    return at != null && nowMillis - at <= KEPT_MILLIS;
  }

  private int knownTokens(Upstream upstream, List<PromptShape.Part> parts, long nowMillis) {
    int tokens = 0;
    for (PromptShape.Part part : parts) {
      Long at = seenAtMillis.get(key(upstream, part.id()));
      if (at == null || nowMillis - at > KEPT_MILLIS) {
        return tokens;
      }
      tokens += part.tokens();
    }
    return tokens;
  }

  private static String key(Upstream upstream, String partId) {
    return upstream.id() + '/' + upstream.bornMillis() + '/' + partId;
  }
}
