package org.limpetvale.entry.config;

import java.util.Objects;
import org.limpetvale.core.time.TimerService;

/** Keeps the configuration in force up to date, from the table and from peers. */
public final class ConfigSync {
  private static final long PERIOD_MILLIS = 1000;

  private final ConfigReader reader;
  private final Peers peers;
  private final TimerService timer;
  private volatile boolean tableAnswers;

  /** Creates the synchronisation of one entry. */
  public ConfigSync(ConfigReader reader, Peers peers, TimerService timer) {
    this.reader = Objects.requireNonNull(reader, "reader is null");
    this.peers = Objects.requireNonNull(peers, "peers is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
  }

  /** Reads once, then goes on in the background. */
  public void start() {
    pollTable();
    exchange();
    timer.every(PERIOD_MILLIS, this::pollTable);
    timer.every(PERIOD_MILLIS, this::exchange);
  }

  private void pollTable() {
    tableAnswers = reader.refresh();
  }

  private void exchange() {
    peers.round(tableAnswers);
  }
}
