package org.limpetvale.entry.config;

import java.util.Locale;

/** Keys and small rows of the configuration in the table. */
final class ConfigRows {
  static final String HEAD = "config/head";
  static final String SNAPSHOT = "config/snapshot";
  static final String CHANGES = "config/change/";

  private ConfigRows() {}

  /** The newest version. */
  record Head(long version) {}

  /** The newest snapshot in the object store. */
  record SnapshotPointer(long version, String object) {}

  static String changeKey(long version) {
    return CHANGES + String.format(Locale.ROOT, "%012d", version);
  }
}
