package org.limpetvale.core.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
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

  /**
   * Time after which a part that was not used again no longer counts as cached, unless more is
   * known of how long engines keep one.
   */
  private static final long RETENTION_MILLIS = 20_000;

  /** Chance from which a recorded copy goes before the assumption for preferred engines. */
  private static final double LIKELY = 0.5;

  /** Time for which the read of a part is remembered. */
  private static final long READ_MEMORY_MILLIS = 120_000;

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
      byEngine.values().removeIf(each -> nowMillis - each.readAtMillis() > READ_MEMORY_MILLIS);
      byEngine.put(upstream.id(), new PartRead(upstream.startedMillis(), nowMillis));
      lastReadMillis = nowMillis;
    }

    OptionalLong lastReadBy(Upstream upstream) {
      PartRead lastRead = byEngine.get(upstream.id());
      return lastRead != null && lastRead.processStartMillis() == upstream.startedMillis()
          ? OptionalLong.of(lastRead.readAtMillis())
          : OptionalLong.empty();
    }

    double chanceAt(Upstream upstream, CopyChance chance) {
      OptionalLong lastRead = lastReadBy(upstream);
      return lastRead.isPresent() ? chance.of(lastRead.getAsLong()) : 0;
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
    CopyChance chance = CopyChance.certainFor(RETENTION_MILLIS, nowMillis);
    return expectedCachedTokens(upstream, shape, affinityRank, chance);
  }

  /**
   * Estimates how many tokens of a prompt an engine has in its cache: the tokens of each recorded
   * part, times the chance that the engine still holds it and all parts before it.
   *
   * @param upstream the engine
   * @param shape the prompt
   * @param affinityRank the engine's rank for the prompt in the preference order that all entries
   *     share; 0 is the first
   * @param chance chance that a part is still held
   */
  public int expectedCachedTokens(
      Upstream upstream, PromptShape shape, int affinityRank, CopyChance chance) {
    Objects.requireNonNull(shape, "shape is null");
    int recordedTokens = recordedTokens(upstream, shape.parts(), chance);
    if (isRecordedAnywhere(shape, chance)) {
      return recordedTokens;
    }
    double confidence =
        affinityRank < PREFERRED_ENGINE_CONFIDENCE.length
            ? PREFERRED_ENGINE_CONFIDENCE[affinityRank]
            : 0;
    int assumedTokens = (int) (confidence * shape.sharedTokens());
    return Math.max(recordedTokens, assumedTokens);
  }

  /**
   * Returns when the shared prefix of a prompt was last sent to an engine; empty if it was not.
   *
   * @return monotonic time in milliseconds
   */
  public OptionalLong lastReadMillis(Upstream upstream, PromptShape shape) {
    List<PromptShape.Part> shared = shape.sharedParts();
    if (shared.isEmpty()) {
      return OptionalLong.empty();
    }
    PartReads reads = byPart.get(shared.getLast().id());
    return reads == null ? OptionalLong.empty() : reads.lastReadBy(upstream);
  }

  private boolean isRecordedAnywhere(PromptShape shape, CopyChance chance) {
    List<PromptShape.Part> shared = shape.sharedParts();
    if (shared.isEmpty()) {
      return false;
    }
    PartReads reads = byPart.get(shared.getLast().id());
    return reads != null && chance.of(reads.lastReadMillis) >= LIKELY;
  }

  private int recordedTokens(
      Upstream upstream, List<PromptShape.Part> parts, CopyChance partChance) {
    double tokens = 0;
    double chance = 1;
    for (PromptShape.Part part : parts) {
      PartReads reads = byPart.get(part.id());
      chance = reads == null ? 0 : Math.min(chance, reads.chanceAt(upstream, partChance));
      if (chance <= 0) {
        break;
      }
      tokens += chance * part.tokens();
    }
    return (int) Math.round(tokens);
  }
}
