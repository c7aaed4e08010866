package org.limpetvale.entry.config;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.entry.upstream.ConfigVersionTracker;

/**
 * Keeps the configuration of an entry up to date by polling the configuration table and by
 * exchanging changes with other entries.
 */
public final class ConfigSync implements ConfigVersionTracker {
  private static final long PERIOD_MILLIS = 1000;

  /**
   * Minimum interval between synchronizations triggered by sidecars that report a newer version.
   */
  private static final long MIN_EARLY_SYNC_INTERVAL_MILLIS = 300;

  private final ConfigReader reader;
  private final PeerExchange peers;
  private final ConfigHolder holder;
  private final TimerService timer;
  private final AtomicLong lastEarlySyncMillis;
  private volatile boolean tableAvailable;

  /** Creates the configuration synchronization of an entry. */
  public ConfigSync(
      ConfigReader reader, PeerExchange peers, ConfigHolder holder, TimerService timer) {
    this.reader = Objects.requireNonNull(reader, "reader is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.holder = Objects.requireNonNull(holder, "holder is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.lastEarlySyncMillis = new AtomicLong(timer.nowMillis());
  }

  /** Synchronizes once, then periodically in the background. */
  public void start() {
    pollTable();
    exchangeWithPeers();
    timer.every(PERIOD_MILLIS, this::pollTable);
    timer.every(PERIOD_MILLIS, this::exchangeWithPeers);
  }

  @Override
  public long currentVersion() {
    return holder.current().version();
  }

  /**
   * Synchronizes early if a sidecar reports a version newer than the current one, which it received
   * from another entry.
   */
  @Override
  public void observeVersion(long version) {
    long lastMillis = lastEarlySyncMillis.get();
    long nowMillis = timer.nowMillis();
    if (version > currentVersion()
        && nowMillis - lastMillis > MIN_EARLY_SYNC_INTERVAL_MILLIS
        && lastEarlySyncMillis.compareAndSet(lastMillis, nowMillis)) {
      timer.after(0, this::pollTable);
      timer.after(0, this::exchangeWithPeers);
    }
  }

  private void pollTable() {
    tableAvailable = reader.refresh();
  }

  private void exchangeWithPeers() {
    peers.runRound(tableAvailable);
  }
}
