package org.limpetvale.core.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.limpetvale.core.fleet.Upstream;

/**
 * What an entry expects in the caches of the engines, from the prompts that it sent there.
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

  private PrefixBook() {}

  /** Returns a book without notes. */
  public static PrefixBook empty() {
    return new PrefixBook();
  }

  /** Notes that an engine has read a prompt. */
  public void note(Upstream upstream, PromptShape shape, long nowMillis) {
    for (PromptShape.Part part : shape.parts()) {
      seenAtMillis.put(key(upstream, part), nowMillis);
    }
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
    double confidence =
        affinityRank < SHARED_CONFIDENCE.length ? SHARED_CONFIDENCE[affinityRank] : 0;
    int assumed = (int) (confidence * shape.sharedTokens());
    return Math.max(known, assumed);
  }

  private int knownTokens(Upstream upstream, List<PromptShape.Part> parts, long nowMillis) {
    int tokens = 0;
    for (PromptShape.Part part : parts) {
      Long at = seenAtMillis.get(key(upstream, part));
      if (at == null || nowMillis - at > KEPT_MILLIS) {
        return tokens;
      }
      tokens += part.tokens();
    }
    return tokens;
  }

  private static String key(Upstream upstream, PromptShape.Part part) {
    return upstream.id() + '/' + upstream.bornMillis() + '/' + part.id();
  }
}
