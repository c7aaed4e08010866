package org.limpetvale.entry.upstream;

/**
 * Tracks the configuration version in force on this entry and versions reported by other processes.
 */
public interface ConfigVersionTracker {
  /** Returns the configuration version in force on this entry. */
  long currentVersion();

  /** Records that another process has reported a configuration version. */
  void observeVersion(long version);
}
