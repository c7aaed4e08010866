package org.limpetvale.core.config;

import java.util.Objects;

/**
 * An accepted change with its place in the order of changes.
 *
 * @param version version that the change makes
 * @param changeId token that resolves a lost answer
 * @param author operator who made the change
 * @param change the change
 */
public record ChangeRecord(long version, String changeId, String author, ConfigChange change) {
  public ChangeRecord {
    Objects.requireNonNull(changeId, "changeId is null");
    Objects.requireNonNull(author, "author is null");
    Objects.requireNonNull(change, "change is null");
  }
}
