package org.limpetvale.core.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.limpetvale.core.fleet.Upstream;

/**
 * Estimates which prompt parts the engines have cached, from the prompts that this entry and the
 * other entries sent to them.
 *
 * <p>With hundreds of prefixes at a few requests per second each, spread over many entries, no
 * single entry sees enough requests to know which engines hold a prefix. Therefore the entries
 * share their placements.
 *
 * <p>Not thread-safe.
 */
public final class PrefixCacheIndex {
  private static final int MAX_PARTS = 20_000;

  /** Time after which a part that was not used again no longer counts as cached. */
  private static final long RETENTION_MILLIS = 20_000;

  /**
   * Assumed cached fraction of a prefix that is not recorded anywhere, by the engine's affinity
   * rank: all entries prefer the same engines for it.
   */
  private static final double[] PREFERRED_ENGINE_CONFIDENCE = {0.8, 0.4};

  private final Map<String, PartReads> byPart =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, PartReads> eldest) {
          return size() > MAX_PARTS;
        }
      };

  /** The engines that recently read a prompt part. */
  private static final class PartReads {
    private final Map<String, PartRead> byEngine = new HashMap<>();

    /** Time when the part was last sent to any engine. */
    private long lastReadMillis;

    void recordRead(Upstream upstream, long nowMillis) {
      byEngine.values().removeIf(each -> nowMillis - each.readAtMillis() > RETENTION_MILLIS);
      byEngine.put(upstream.id(), new PartRead(upstream.startedMillis(), nowMillis));
      lastReadMillis = nowMillis;
    }

    boolean holds(Upstream upstream, long nowMillis) {
      PartRead lastRead = byEngine.get(upstream.id());
      return lastRead != null
          && lastRead.processStartMillis() == upstream.startedMillis()
          && nowMillis - lastRead.readAtMillis() <= RETENTION_MILLIS;
    }
  }

  /** A read of a part by one engine process; a restarted engine has an empty cache. */
  private record PartRead(long processStartMillis, long readAtMillis) {}

  private PrefixCacheIndex() {}

  /** Returns an empty index. */
  public static PrefixCacheIndex empty() {
    return new PrefixCacheIndex();
  }

  /** Records that an engine read a prompt. */
  public void recordPrompt(Upstream upstream, PromptShape shape, long nowMillis) {
    for (PromptShape.Part part : shape.parts()) {
      recordPart(upstream, part.id(), nowMillis);
    }
  }

  /** Records that an engine read one part of a prompt. */
  public void recordPart(Upstream upstream, String partId, long nowMillis) {
    byPart.computeIfAbsent(partId, id -> new PartReads()).recordRead(upstream, nowMillis);
  }

  /**
   * Estimates how many tokens of a prompt an engine has in its cache.
   *
   * @param upstream the engine
   * @param shape the prompt
   * @param affinityRank the engine's rank for the prompt in the preference order that all entries
   *     share; 0 is the first
   * @param nowMillis monotonic time in milliseconds
   */
  public int expectedCachedTokens(
      Upstream upstream, PromptShape shape, int affinityRank, long nowMillis) {
    Objects.requireNonNull(shape, "shape is null");
    int recordedTokens = recordedTokens(upstream, shape.parts(), nowMillis);
    if (isRecordedAnywhere(shape, nowMillis)) {
      return recordedTokens;
    }
    double confidence =
        affinityRank < PREFERRED_ENGINE_CONFIDENCE.length
            ? PREFERRED_ENGINE_CONFIDENCE[affinityRank]
            : 0;
    int assumedTokens = (int) (confidence * shape.sharedTokens());
    return Math.max(recordedTokens, assumedTokens);
  }

  private boolean isRecordedAnywhere(PromptShape shape, long nowMillis) {
    List<PromptShape.Part> shared = shape.sharedParts();
    if (shared.isEmpty()) {
      return false;
    }
    PartReads reads = byPart.get(shared.getLast().id());
    return reads != null && nowMillis - reads.lastReadMillis <= RETENTION_MILLIS;
  }

  private int recordedTokens(Upstream upstream, List<PromptShape.Part> parts, long nowMillis) {
    int tokens = 0;
    for (PromptShape.Part part : parts) {
      PartReads reads = byPart.get(part.id());
      if (reads == null || !reads.holds(upstream, nowMillis)) {
        return tokens;
      }
      tokens += part.tokens();
    }
    return tokens;
  }
}
