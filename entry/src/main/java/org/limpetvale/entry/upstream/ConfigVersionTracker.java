package org.limpetvale.entry.upstream;

/** The version of the configuration in force here, and news of newer ones. */
public interface ConfigVersionTracker {
  /** Returns the version in force. */
  long currentVersion();

  /** Notes that another process knows of a version. */
  void observeVersion(long version);
}
