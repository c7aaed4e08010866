package org.limpetvale.core.usage;

import java.util.Objects;

/**
 * Usage of one request.
 *
 * @param recordId token of the record
 * @param workspace workspace that is billed
 * @param figures the usage
 */
public record UsageRecord(String recordId, String workspace, UsageFigures figures) {
  public UsageRecord {
    Objects.requireNonNull(recordId, "recordId is null");
    Objects.requireNonNull(workspace, "workspace is null");
    Objects.requireNonNull(figures, "figures is null");
  }
}
