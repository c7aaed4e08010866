package org.limpetvale.core.usage;

import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Usage that one writer has gathered, summed by workspace.
 *
 * @param batchId token of the batch, unique by writer
 * @param window window that the batch was written in
 * @param figures sums by workspace
 */
public record UsageBatch(String batchId, long window, Map<String, UsageFigures> figures) {
  public UsageBatch {
    Objects.requireNonNull(batchId, "batchId is null");
    figures = Map.copyOf(Objects.requireNonNull(figures, "figures is null"));
  }

  /** Returns the batch of some records. */
  public static UsageBatch of(String batchId, long window, Collection<UsageRecord> records) {
    return new UsageBatch(
        batchId,
        window,
        records.stream()
            .collect(
                Collectors.toMap(
                    UsageRecord::workspace, UsageRecord::figures, UsageFigures::plus)));
  }

  /** Returns the sums of many batches by workspace, in order of the names. */
  public static Map<String, UsageFigures> sum(Collection<UsageBatch> batches) {
    Map<String, UsageFigures> sums = new TreeMap<>();
    batches.forEach(
        batch ->
            batch.figures().forEach((name, each) -> sums.merge(name, each, UsageFigures::plus)));
    return sums;
  }
}
