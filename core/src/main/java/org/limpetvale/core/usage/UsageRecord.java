package org.limpetvale.core.usage;

import java.util.Objects;

/**
 * The usage of one request.
 *
 * @param recordId id of the record
 * @param workspace workspace charged for the request
 * @param figures usage of the request
 */
public record UsageRecord(String recordId, String workspace, UsageFigures figures) {
  public UsageRecord {
    Objects.requireNonNull(recordId, "recordId is null");
    Objects.requireNonNull(workspace, "workspace is null");
    Objects.requireNonNull(figures, "figures is null");
  }
}
