package org.limpetvale.core.usage;

import java.util.Collection;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Usage collected by one writer, summed by workspace.
 *
 * @param batchId id of the batch, unique per writer
 * @param window window in which the batch was written
 * @param figures sums by workspace
 */
public record UsageBatch(String batchId, long window, Map<String, UsageFigures> figures) {
  public UsageBatch {
    Objects.requireNonNull(batchId, "batchId is null");
    figures = Map.copyOf(Objects.requireNonNull(figures, "figures is null"));
  }

  /** Returns a batch with the summed usage of the given records. */
  public static UsageBatch of(String batchId, long window, Collection<UsageRecord> records) {
    return new UsageBatch(
        batchId,
        window,
        records.stream()
            .collect(
                Collectors.toMap(
                    UsageRecord::workspace, UsageRecord::figures, UsageFigures::plus)));
  }

  /** Returns the sums of the given batches by workspace, ordered by name. */
  public static Map<String, UsageFigures> sum(Collection<UsageBatch> batches) {
    Map<String, UsageFigures> sums = new TreeMap<>();
    batches.forEach(
        batch ->
            batch.figures().forEach((name, each) -> sums.merge(name, each, UsageFigures::plus)));
    return sums;
  }
}
