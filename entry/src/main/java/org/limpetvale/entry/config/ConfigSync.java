package org.limpetvale.entry.config;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.entry.upstream.ConfigVersionTracker;

/** Keeps the configuration up to date from the table and from peers. */
public final class ConfigSync implements ConfigVersionTracker {
  private static final long PERIOD_MILLIS = 1000;

  /** Minimum interval between reads triggered by sidecars that report a newer version. */
  private static final long MIN_EARLY_POLL_INTERVAL_MILLIS = 300;

  private final ConfigReader reader;
  private final PeerExchange peers;
  private final ConfigHolder holder;
  private final TimerService timer;
  private final AtomicLong lastEarlyPollMillis;
  private volatile boolean tableAvailable;

  /** Creates the configuration synchronization of an entry. */
  public ConfigSync(
      ConfigReader reader, PeerExchange peers, ConfigHolder holder, TimerService timer) {
    this.reader = Objects.requireNonNull(reader, "reader is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.holder = Objects.requireNonNull(holder, "holder is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.lastEarlyPollMillis = new AtomicLong(timer.nowMillis());
  }

  /** Synchronizes once, then periodically in the background. */
  public void start() {
    pollTable();
    exchange();
    timer.every(PERIOD_MILLIS, this::pollTable);
    timer.every(PERIOD_MILLIS, this::exchange);
  }

  @Override
  public long currentVersion() {
    return holder.current().version();
  }

  /**
   * Synchronizes early if a sidecar reports a newer version that it received from another entry.
   */
  @Override
  public void observeVersion(long version) {
    long lastMillis = lastEarlyPollMillis.get();
    long nowMillis = timer.nowMillis();
    if (version > currentVersion()
        && nowMillis - lastMillis > MIN_EARLY_POLL_INTERVAL_MILLIS
        && lastEarlyPollMillis.compareAndSet(lastMillis, nowMillis)) {
      timer.after(0, this::pollTable);
      timer.after(0, this::exchange);
    }
  }

  private void pollTable() {
    tableAvailable = reader.refresh();
  }

  private void exchange() {
    peers.runRound(tableAvailable);
  }
}
