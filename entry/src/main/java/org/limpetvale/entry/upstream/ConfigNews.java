package org.limpetvale.entry.upstream;

/** The version of the configuration in force here, and news of newer ones. */
public interface ConfigNews {
  /** Returns the version in force. */
  long current();

  /** Notes that another process knows of a version. */
  void heard(long version);
}
