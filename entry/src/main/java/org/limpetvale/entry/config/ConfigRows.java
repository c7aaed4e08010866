package org.limpetvale.entry.config;

import java.util.Locale;

/** Keys and row types of the configuration in the table. */
final class ConfigRows {
  static final String HEAD = "config/head";
  static final String SNAPSHOT = "config/snapshot";
  static final String CHANGES = "config/change/";

  private ConfigRows() {}

  /** Row with the newest version. */
  record Head(long version) {}

  /** Row that points to the newest snapshot in the object store. */
  record SnapshotPointer(long version, String object) {}

  static String changeKey(long version) {
    return CHANGES + String.format(Locale.ROOT, "%012d", version);
  }
}
