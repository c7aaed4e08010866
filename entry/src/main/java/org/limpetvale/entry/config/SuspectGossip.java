package org.limpetvale.entry.config;

import java.util.Collection;
import java.util.List;
import org.limpetvale.wire.SuspectNews;

/** Shares crash suspects with other entries through the peer exchange. */
public interface SuspectGossip {
  /** Returns the recent updates to send to peers. */
  List<SuspectNews> recentUpdates();

  /** Merges updates from a peer. */
  void receive(Collection<SuspectNews> updates);
}
