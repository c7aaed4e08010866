package org.limpetvale.entry;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import org.eclipse.jetty.server.Server;
import org.limpetvale.core.time.TimerService;
import org.limpetvale.entry.http.DrainFilter;

/**
 * Stops the entry on SIGTERM after the open requests have finished or the grace period has expired.
 *
 * <p>The server keeps listening while it drains. A request that the load balancer still sends here
 * receives a regular refusal that reports that it was not run.
 */
final class GracefulShutdown implements Runnable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long POLL_MILLIS = 50;

  /** Time to keep refusing requests after draining, so that the load balancer notices. */
  private static final long REFUSAL_PERIOD_MILLIS = 1000;

  private final Server server;
  private final DrainFilter drain;
  private final TimerService timer;
  private final long graceMillis;

  GracefulShutdown(Server server, DrainFilter drain, TimerService timer, long graceMillis) {
    this.server = Objects.requireNonNull(server, "server is null");
    this.drain = Objects.requireNonNull(drain, "drain is null");
    this.timer = Objects.requireNonNull(timer, "timer is null");
    this.graceMillis = graceMillis;
  }

  @Override
  public void run() {
    logger.atInfo().log("stopping: %d requests in progress", drain.active());
    drain.drain();
    long endMillis = timer.nowMillis() + graceMillis;
    while (drain.active() > 0 && timer.nowMillis() < endMillis) {
      timer.sleep(POLL_MILLIS);
    }
    timer.sleep(REFUSAL_PERIOD_MILLIS);
    try {
      server.stop();
    } catch (Exception e) {
      logger.atWarning().withCause(e).log("the server did not stop cleanly");
    }
  }
}
