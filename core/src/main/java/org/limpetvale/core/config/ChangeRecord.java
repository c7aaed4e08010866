package org.limpetvale.core.config;

import java.util.Objects;

/**
 * An accepted configuration change and the version it creates.
 *
 * @param version version of the configuration after the change
 * @param changeId unique id; shows whether a write whose response was lost was committed
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
