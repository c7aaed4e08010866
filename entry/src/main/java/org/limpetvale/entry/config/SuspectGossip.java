package org.limpetvale.entry.config;

import java.util.Collection;
import java.util.List;
import org.limpetvale.wire.SuspectNews;

/** News of suspects that travels with the exchange between peers. */
public interface SuspectGossip {
  /** Returns the news to pass on. */
  List<SuspectNews> recentUpdates();

  /** Takes news from a peer. */
  void receive(Collection<SuspectNews> news);
}
